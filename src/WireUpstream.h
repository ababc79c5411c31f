/** \file
 * Defines the conversion of statements and control calls to members to and from protobuf messages.
 */
#pragma once

#include "Protocol.h"
#include "Upstream.h"

#include <upstream.pb.h>

#include <absl/status/statusor.h>

namespace Figward::Wire {

void encode(const MemberStatus &status, v1::MemberStatus &out);
MemberStatus decode(const v1::MemberStatus &in);
void encode(const UpstreamStatement &statement, v1::UpstreamStatement &out);
absl::StatusOr<UpstreamStatement> decode(const v1::UpstreamStatement &in);
void encode(const UpstreamAnswer &answer, v1::UpstreamAnswer &out);
absl::StatusOr<UpstreamAnswer> decode(const v1::UpstreamAnswer &in);

v1::ControlRequest encodeControl(const MemberId &member, const ControlBody &body);
absl::StatusOr<ControlBody> decodeControl(const v1::ControlRequest &in);
v1::ControlReply encodeControlReply(const ControlAnswer &answer);
ControlAnswer decodeControlReply(ControlId id, const v1::ControlReply &in);

} // namespace Figward::Wire
