/** \file
 * Defines the datagram encoding of heartbeats between VMs, and of requests and grants of permits.
 */
#pragma once

#include "SessionEvents.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Figward::Wire {

/** Encodes \p heartbeat as a datagram. */
std::string encodeHeartbeat(const VmHeartbeat &heartbeat);
/** Encodes \p request as a datagram. */
std::string encodeAdmissionRequest(const AdmissionRequest &request);
/** Encodes \p grant as a datagram. */
std::string encodeAdmissionGrant(const AdmissionGrant &grant);

using VmDatagram = std::variant<VmHeartbeat, AdmissionRequest, AdmissionGrant>;
/** Decodes a datagram. Returns nothing if it is malformed. */
std::optional<VmDatagram> decodeDatagram(std::string_view datagram);

} // namespace Figward::Wire
