/** \file
 * Defines the adapter that holds connections to upstreams and makes control calls, over gRPC.
 */
#pragma once

#include "Protocol.h"
#include "Rundown.h"
#include "ShellPorts.h"
#include "Transport.h"

#include <absl/container/flat_hash_map.h>
#include <upstream.grpc.pb.h>

namespace Figward {

/** The connections of one proxy. A connection is a stream; those to one address share a socket. */
class UpstreamLinks : public UpstreamPort
{
public:
    UpstreamLinks(ChannelPool &channels, EventSink &events);
    UpstreamLinks(const UpstreamLinks &) = delete;
    UpstreamLinks &operator=(const UpstreamLinks &) = delete;
    ~UpstreamLinks() override;
    void open(const OpenConnection &effect) override;
    void close(ConnectionId connection) override;
    void send(const SendStatement &effect) override;
    void control(const SendControl &effect) override;

private:
    class Link;

    v1::Upstream::Stub &stubTo(const std::string &address);

    ChannelPool &channels_;
    EventSink &events_;
    std::map<std::string, std::unique_ptr<v1::Upstream::Stub>> stubs_;
    absl::flat_hash_map<ConnectionId, std::shared_ptr<Link>> links_; ///< Used only by the event loop's thread.
    Rundown rundown_;
};

} // namespace Figward
