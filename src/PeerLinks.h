/** \file
 * Defines the adapter that sends messages to other proxies, over gRPC.
 */
#pragma once

#include "Rundown.h"
#include "ShellPorts.h"
#include "Transport.h"

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <peer.grpc.pb.h>

namespace Figward {

/** The streams to other proxies, one for each address, opened by the first message and reopened by the first message after a failure. */
class PeerLinks : public PeerPort
{
public:
    PeerLinks(ChannelPool &channels, EventSink &events);
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;
    ~PeerLinks() override;
    void send(const std::string &address, const PeerMessage &message) override;
    void forget(const std::string &address) override;
    /** Ends all streams once their queued messages are written, and waits for this for at most \p grace. Must be called only after the loop has stopped. */
    void finish(std::chrono::milliseconds grace);

private:
    class Link;

    ChannelPool &channels_;
    EventSink &events_;
    absl::flat_hash_map<std::string, std::shared_ptr<Link>> links_; ///< Used only by the event loop's thread.
    Rundown rundown_;
};

} // namespace Figward
