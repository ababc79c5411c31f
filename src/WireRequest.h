/** \file
 * Defines how requests, answers and tokens become protobuf messages and back. Every decoder checks what it is given.
 */
#pragma once

#include "Protocol.h"
#include "Request.h"

#include <caller.pb.h>

#include <absl/status/statusor.h>
#include <chrono>
#include <string>

namespace Figward::Wire {

/** Longest time that a message may name; longer ones would overflow when they are added to an instant. */
inline constexpr Duration longestDuration = std::chrono::hours(24 * 365);

/** \p micros as a duration; InvalidArgument above longestDuration. */
absl::StatusOr<Duration> decodeDuration(std::uint64_t micros);
std::uint64_t encodeDuration(Duration duration);

void encode(LogPoint point, v1::LogPoint &out);
LogPoint decode(const v1::LogPoint &in);
void encode(const IdempotencyKey &key, v1::IdempotencyKey &out);
IdempotencyKey decode(const v1::IdempotencyKey &in);
v1::RequestKind encode(RequestKind kind);
absl::StatusOr<RequestKind> decode(v1::RequestKind in);

/** Everything but the token. */
void encode(const Request &request, v1::Request &out);
absl::StatusOr<Request> decode(const v1::Request &in);
void encode(const Answer &answer, v1::Answer &out);
absl::StatusOr<Answer> decode(const v1::Answer &in);

/** A token as proxies send it to each other. */
void encode(const SessionToken &token, google::protobuf::RepeatedPtrField<v1::SessionPoint> &out);
SessionToken decode(const google::protobuf::RepeatedPtrField<v1::SessionPoint> &in);

/** What a caller sent, or the answer that refuses it. */
struct CallerRequest
{
    Request request_;
    ErrorKind refusal_ = ErrorKind::None; ///< BadToken or BadRequest: the request is not for the reducer.
};

CallerRequest decodeCallerRequest(const v1::ExecuteRequest &in);
v1::ExecuteRequest encodeCallerRequest(const Request &request);
v1::ExecuteAnswer encodeCallerAnswer(const Answer &answer);
/** As a caller's library reads it. */
absl::StatusOr<Answer> decodeCallerAnswer(const v1::ExecuteAnswer &in);

} // namespace Figward::Wire
