/** \file
 * Defines how heartbeats between VMs are written as datagrams.
 */
#pragma once

#include "SessionEvents.h"

#include <optional>
#include <string>
#include <string_view>

namespace Figward::Wire {

/** The datagram of \p heartbeat. */
std::string encodeHeartbeat(const VmHeartbeat &heartbeat);
/** Reads a datagram; nothing if it is none of ours. */
std::optional<VmHeartbeat> decodeHeartbeat(std::string_view datagram);

} // namespace Figward::Wire
