/** \file
 * Defines the conversion of messages between proxies to and from protobuf messages.
 */
#pragma once

#include "Peer.h"
#include "Protocol.h"

#include <peer.pb.h>

#include <absl/status/statusor.h>

namespace Figward::Wire {

void encodePeer(const PeerMessage &message, v1::PeerMessage &out);
absl::StatusOr<PeerMessage> decodePeer(const v1::PeerMessage &in);

} // namespace Figward::Wire
