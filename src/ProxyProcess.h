/** \file
 * Defines a complete proxy: the servers, links, event loop and metrics around one reducer. One process may run any number of proxies.
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

/** Start-up options of a proxy. Addresses are "host:port"; port 0 selects a free port. */
struct ProxyOptions
{
    VmId id_; ///< Zero: chosen at random, so that each incarnation has a new id.
    ZoneId zone_;
    std::string callerAddress_ = "127.0.0.1:0";
    std::string peerAddress_ = "127.0.0.1:0";
    std::string advertisedAddress_; ///< The address at which other proxies reach this one; empty: the peer address it listens on.
    std::string platformAddress_;
    std::string metricsAddress_; ///< Empty: metrics are not served.
    std::vector<std::string> seeds_; ///< Peer addresses of proxies to ask when the platform cannot be reached.
    std::optional<TlsMaterial> callerTls_; ///< TLS for connections from callers.
    std::optional<TlsMaterial> peerTls_; ///< Mutual TLS between proxies; both sides present certificates.
    std::optional<std::uint64_t> seed_; ///< Seed of the reducer's random numbers; chosen at random if not set.
    std::shared_ptr<LogPort> log_;
};

class ProxyProcess
{
public:
    explicit ProxyProcess(ProxyOptions options);
    ProxyProcess(const ProxyProcess &) = delete;
    ProxyProcess &operator=(const ProxyProcess &) = delete;
    /** Kills the proxy if it still runs. */
    ~ProxyProcess();

    /** Starts listening and serving. Returns Unavailable if an address cannot be bound; all resources are then released. */
    absl::Status start();
    /** Requests a graceful shutdown and returns immediately. */
    void drain();
    /** Waits for a graceful shutdown to complete, then closes the servers and links. */
    void awaitExit();
    /** Stops immediately, as in a crash: callers get no answers. */
    void kill();

    /** The address at which callers reach the proxy. */
    [[nodiscard]] const std::string &callerAddress() const;
    /** The identity of the proxy towards other proxies. */
    [[nodiscard]] const VmInfo &vm() const;
    [[nodiscard]] const Metrics &metrics() const;
    /** Runs \p step on the loop's thread, between events. The proxy must be running. */
    void run(const EventLoop::Step &step);

private:
    absl::Status listenAll();
    void releaseLinks();

    ProxyOptions options_;
    VmInfo vm_;
    Metrics metrics_;
    std::string callerAddress_;
    // Declared before the links so that it outlives them: they post events to it until they are destroyed.
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
