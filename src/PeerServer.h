/** \file
 * Defines the service that receives messages from other proxies.
 */
#pragma once

#include "Protocol.h"
#include "ShellPorts.h"

#include <peer.grpc.pb.h>

namespace Figward {

/** Posts each message as PeerReceived. Ends a stream on which a malformed message arrives. */
class PeerServer : public v1::Peer::CallbackService
{
public:
    explicit PeerServer(EventSink &events);
    grpc::ServerBidiReactor<v1::PeerBatch, v1::PeerBatch> *Connect(grpc::CallbackServerContext *context) override;

private:
    EventSink &events_;
};

} // namespace Figward
