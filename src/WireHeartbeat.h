/** \file
 * Defines the datagram encoding of heartbeats between VMs, of requests and grants of permits, and of forwarded reads and their results.
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
/** Encodes \p read as a datagram. */
std::string encodeForwardedRead(const ForwardedRead &read);
/** Encodes \p result as a datagram. */
std::string encodeForwardedReadResult(const ForwardedReadResult &result);

using VmDatagram = std::variant<VmHeartbeat, AdmissionRequest, AdmissionGrant, ForwardedRead, ForwardedReadResult>;
/** Decodes a datagram. Returns nothing if it is malformed. */
std::optional<VmDatagram> decodeDatagram(std::string_view datagram);

} // namespace Figward::Wire
