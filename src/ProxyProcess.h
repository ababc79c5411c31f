/** \file
 * Defines a whole proxy: servers, links, event loop and metrics round one reducer. Any number of them may run in one process.
 */
#pragma once

#include "CallerServer.h"
#include "EventLoop.h"
#include "Metrics.h"
#include "PeerLinks.h"
#include "PeerServer.h"
#include "PlatformLink.h"
#include "Transport.h"
#include "UpstreamLinks.h"
#include "VmRegistration.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Figward {

/** What a proxy is started with. Addresses are "host:port"; port 0 takes a free one. */
struct ProxyOptions
{
    VmId id_; ///< Zero: one is chosen at random, as befits a new incarnation.
    ZoneId zone_;
    std::string callerAddress_ = "127.0.0.1:0";
    std::string peerAddress_ = "127.0.0.1:0";
    std::string advertisedAddress_; ///< Where other proxies reach this one; empty: where it listens for them.
    std::string platformAddress_;
    std::string metricsAddress_; ///< Empty: none are served.
    std::vector<std::string> seeds_; ///< Peer addresses of proxies to ask when the platform cannot be reached.
    std::optional<TlsMaterial> callerTls_; ///< What callers are met with.
    std::optional<TlsMaterial> peerTls_; ///< Between proxies; both sides show certificates.
    std::optional<std::uint64_t> seed_; ///< Of the reducer's randomness; without it, random.
    std::shared_ptr<LogPort> log_;
};

/** One proxy. */
class ProxyProcess
{
public:
    explicit ProxyProcess(ProxyOptions options);
    ProxyProcess(const ProxyProcess &) = delete;
    ProxyProcess &operator=(const ProxyProcess &) = delete;
    /** Kills the proxy if it still runs. */
    ~ProxyProcess();

    /** Listens and begins to work. Unavailable if an address cannot be bound; the process then holds nothing. */
    absl::Status start();
    /** Asks for a graceful shutdown and returns at once. */
    void drain();
    /** Waits for the end of a graceful shutdown and closes everything. */
    void awaitExit();
    /** Ends at once, as a crash would: callers get no answers. */
    void kill();

    /** Where callers reach the proxy. */
    [[nodiscard]] const std::string &callerAddress() const;
    /** The proxy as other proxies know it. */
    [[nodiscard]] const VmInfo &vm() const;
    [[nodiscard]] const Metrics &metrics() const;
    /** Runs \p step on the loop's thread, between events. The proxy must run. */
    void run(const EventLoop::Step &step);

private:
    absl::Status listenAll();
    void releaseLinks();

    ProxyOptions options_;
    VmInfo vm_;
    Metrics metrics_;
    std::string callerAddress_;
    // The loop outlives the links, which post into it to their end.
    std::unique_ptr<EventLoop> loop_;
    std::unique_ptr<CallerServer> callers_;
    std::unique_ptr<PeerServer> peers_;
    std::unique_ptr<ChannelPool> peerChannels_;
    std::unique_ptr<ChannelPool> upstreamChannels_;
    std::unique_ptr<PeerLinks> peerLinks_;
    std::unique_ptr<UpstreamLinks> upstreamLinks_;
    std::unique_ptr<PlatformLink> platform_;
    std::unique_ptr<VmRegistration> registration_;
    ListeningServer callerServer_;
    ListeningServer peerServer_;
};

} // namespace Figward
