/** \file
 * Defines the conversion of requests, answers and tokens to and from protobuf messages. Every decoder validates its input.
 */
#pragma once

#include "Protocol.h"
#include "Request.h"

#include <caller.pb.h>

#include <absl/status/statusor.h>
#include <chrono>
#include <string>

namespace Figward::Wire {

/** Longest duration that a message may contain; adding a longer one to a time point would overflow. */
inline constexpr Duration longestDuration = std::chrono::hours(24 * 365);

/** Converts \p micros to a duration. Returns InvalidArgument above longestDuration. */
absl::StatusOr<Duration> decodeDuration(std::uint64_t micros);
std::uint64_t encodeDuration(Duration duration);

void encode(LogPoint point, v1::LogPoint &out);
LogPoint decode(const v1::LogPoint &in);
void encode(const IdempotencyKey &key, v1::IdempotencyKey &out);
IdempotencyKey decode(const v1::IdempotencyKey &in);
v1::RequestKind encode(RequestKind kind);
absl::StatusOr<RequestKind> decode(v1::RequestKind in);

/** Encodes all fields except the token. */
void encode(const Request &request, v1::Request &out);
absl::StatusOr<Request> decode(const v1::Request &in);
void encode(const Answer &answer, v1::Answer &out);
absl::StatusOr<Answer> decode(const v1::Answer &in);

/** Encodes a token in the form that proxies send to each other. */
void encode(const SessionToken &token, google::protobuf::RepeatedPtrField<v1::SessionPoint> &out);
SessionToken decode(const google::protobuf::RepeatedPtrField<v1::SessionPoint> &in);

/** A caller's decoded request, or the error with which to refuse it. */
struct CallerRequest
{
    Request request_;
    ErrorKind refusal_ = ErrorKind::None; ///< BadToken or BadRequest: the request must not be passed to the reducer.
};

CallerRequest decodeCallerRequest(const v1::ExecuteRequest &in);
v1::ExecuteRequest encodeCallerRequest(const Request &request);
v1::ExecuteAnswer encodeCallerAnswer(const Answer &answer);
/** Decodes an answer as a caller's library does. */
absl::StatusOr<Answer> decodeCallerAnswer(const v1::ExecuteAnswer &in);

} // namespace Figward::Wire
