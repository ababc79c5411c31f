/** \file
 * Defines proxies and simulated members and platform that run in the test process and communicate over loopback ports.
 */
#pragma once

#include "CallerClient.h"
#include "GroupStandinServer.h"
#include "PlatformStandinServer.h"
#include "ProxyProcess.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace Figward::Testing {

/** Records the numbers of the log events that are written. */
class RecordingLog : public LogPort
{
public:
    void write(LogNumber number, const std::vector<LogField> &fields) override;
    [[nodiscard]] bool has(LogNumber number) const;

private:
    mutable std::mutex mutex_;
    std::vector<LogNumber> numbers_;
};

/** Waits until \p condition holds; returns false after a timeout that is long enough to be reached only in case of a fault. */
bool eventually(const std::function<bool()> &condition);

/** Fleet with three availability zones, one group of three members and any number of proxies. */
class LoopbackFleet
{
public:
    /** \p slots is the number of slots that the configuration states for the group. */
    explicit LoopbackFleet(Standin::GroupModelConfig group = defaultGroup(), SlotCount slots = SlotCount(5));

    /** Makes proxies started from now on use TLS to callers and to each other, with the certificates in test/support/certificates. */
    void useTls();
    /** Returns the certificates that a caller needs to trust the proxies; nothing without TLS. */
    [[nodiscard]] std::optional<TlsMaterial> callerTrust() const;
    /** Starts a proxy in a zone, and waits until it has the configuration and an answer from the group. */
    ProxyProcess &addProxy(const std::string &zone);
    /** Starts a proxy with \p options, to which the platform's address and the log are added; does not wait. */
    std::unique_ptr<ProxyProcess> makeProxy(ProxyOptions options);
    /** Activates the configuration on \p proxy. */
    void configure(ProxyProcess &proxy);
    [[nodiscard]] Standin::GroupStandinServer &group();
    [[nodiscard]] Standin::PlatformStandinServer &platform();
    [[nodiscard]] ProxyProcess &proxy(std::size_t index);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] RecordingLog &log();
    /** Stops the proxy at \p index gracefully and starts another in its place. */
    void replace(std::size_t index, const std::string &zone);
    /** Returns the configuration given to the proxies. */
    [[nodiscard]] Configuration configuration() const;

    static Standin::GroupModelConfig defaultGroup();
    static ServiceId service();
    static GroupId groupId();
    /** Returns a session that no other test uses. */
    static CallerSession session();

private:
    std::unique_ptr<ProxyProcess> startProxy(const std::string &zone);
    /** Waits until each proxy has all proxies in its list. */
    void awaitMembership();

    std::shared_ptr<RecordingLog> log_ = std::make_shared<RecordingLog>();
    SlotCount slots_;
    std::optional<TlsMaterial> tls_;
    Standin::PlatformStandinServer platform_;
    Standin::GroupStandinServer group_;
    std::vector<std::unique_ptr<ProxyProcess>> proxies_;
};

} // namespace Figward::Testing
