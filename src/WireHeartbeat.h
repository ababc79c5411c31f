/** \file
 * Defines how heartbeats between VMs, and their requests for permits, are written as datagrams.
 */
#pragma once

#include "SessionEvents.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Figward::Wire {

/** The datagram of \p heartbeat. */
std::string encodeHeartbeat(const VmHeartbeat &heartbeat);
/** The datagram of \p request. */
std::string encodeAdmissionRequest(const AdmissionRequest &request);
/** The datagram of \p grant. */
std::string encodeAdmissionGrant(const AdmissionGrant &grant);

using VmDatagram = std::variant<VmHeartbeat, AdmissionRequest, AdmissionGrant>;
/** Reads a datagram; nothing if it is none of ours. */
std::optional<VmDatagram> decodeDatagram(std::string_view datagram);

} // namespace Figward::Wire
