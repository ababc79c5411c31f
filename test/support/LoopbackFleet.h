/** \file
 * Defines proxies and stand-ins that run in the test's process and talk over loopback ports.
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

/** Keeps the numbers of the log events that were written. */
class RecordingLog : public LogPort
{
public:
    void write(LogNumber number, const std::vector<LogField> &fields) override;
    [[nodiscard]] bool has(LogNumber number) const;

private:
    mutable std::mutex mutex_;
    std::vector<LogNumber> numbers_;
};

/** Waits until \p condition holds; false if it does not within a bound that only a fault reaches. */
bool eventually(const std::function<bool()> &condition);

/** Three availability zones, one group of three members, any number of proxies. */
class LoopbackFleet
{
public:
    /** \p slots is what the configuration says of the group. */
    explicit LoopbackFleet(Standin::GroupModelConfig group = defaultGroup(), SlotCount slots = SlotCount(5));

    /** Proxies started from now on speak TLS with callers and with each other, by the certificates in test/support/certificates. */
    void useTls();
    /** What a caller needs to trust the proxies; nothing without TLS. */
    [[nodiscard]] std::optional<TlsMaterial> callerTrust() const;
    /** Starts a proxy in a zone, and waits until it has the configuration and an answer from the group. */
    ProxyProcess &addProxy(const std::string &zone);
    /** Starts a proxy with \p options, to which the platform's address and the log are added; does not wait. */
    std::unique_ptr<ProxyProcess> makeProxy(ProxyOptions options);
    /** Puts the configuration into force on \p proxy. */
    void configure(ProxyProcess &proxy);
    [[nodiscard]] Standin::GroupStandinServer &group();
    [[nodiscard]] Standin::PlatformStandinServer &platform();
    [[nodiscard]] ProxyProcess &proxy(std::size_t index);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] RecordingLog &log();
    /** Ends the proxy at \p index gracefully and starts another in its place. */
    void replace(std::size_t index, const std::string &zone);
    /** The configuration that proxies get. */
    [[nodiscard]] Configuration configuration() const;

    static Standin::GroupModelConfig defaultGroup();
    static ServiceId service();
    static GroupId groupId();
    /** A session that no other test uses. */
    static CallerSession session();

private:
    std::unique_ptr<ProxyProcess> startProxy(const std::string &zone);
    /** Waits until each proxy lists all of them. */
    void awaitMembership();

    std::shared_ptr<RecordingLog> log_ = std::make_shared<RecordingLog>();
    SlotCount slots_;
    std::optional<TlsMaterial> tls_;
    Standin::PlatformStandinServer platform_;
    Standin::GroupStandinServer group_;
    std::vector<std::unique_ptr<ProxyProcess>> proxies_;
};

} // namespace Figward::Testing
