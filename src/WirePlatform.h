/** \file
 * Defines the conversion of calls to the platform to and from protobuf messages.
 */
#pragma once

#include "Platform.h"
#include "Protocol.h"

#include <platform.pb.h>

#include <absl/status/statusor.h>

namespace Figward::Wire {

void encode(const VmInfo &vm, v1::VmInfo &out);
VmInfo decode(const v1::VmInfo &in);
v1::PlatformStatus encode(PlatformStatus status);
/** Decodes the status of an answer. The result is never Lost, which stands for a missing answer. */
absl::StatusOr<PlatformStatus> decode(v1::PlatformStatus in);

/** Decodes the answer to a Get, Put or Watch. */
absl::StatusOr<PlatformAnswer> decode(CallId call, v1::ObjectAnswer &&in);
absl::StatusOr<PlatformAnswer> decode(CallId call, const v1::ListVmsAnswer &in);
v1::ObjectAnswer encodeObject(const PlatformAnswer &answer);
v1::ListVmsAnswer encodeVms(const PlatformAnswer &answer);

} // namespace Figward::Wire
