#include "WireRequest.h"

namespace Figward::Wire {

namespace {

absl::Status badField(const char *what)
{
    return absl::InvalidArgumentError(what);
}

v1::Outcome encode(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return v1::OUTCOME_DONE;
    case Outcome::NotRun:
        return v1::OUTCOME_NOT_RUN;
    case Outcome::Unknown:
        return v1::OUTCOME_UNKNOWN;
    }
    return v1::OUTCOME_UNSPECIFIED;
}

absl::StatusOr<Outcome> decode(v1::Outcome in)
{
    switch (in) {
    case v1::OUTCOME_DONE:
        return Outcome::Done;
    case v1::OUTCOME_NOT_RUN:
        return Outcome::NotRun;
    case v1::OUTCOME_UNKNOWN:
        return Outcome::Unknown;
    default:
        return badField("outcome");
    }
}

// The enumerators of both types are declared in the same order; a test checks this.
v1::ErrorKind encode(ErrorKind kind)
{
    return static_cast<v1::ErrorKind>(kind);
}

absl::StatusOr<ErrorKind> decode(v1::ErrorKind in)
{
    if (!v1::ErrorKind_IsValid(in)) {
        return badField("error");
    }
    return static_cast<ErrorKind>(in);
}

absl::Status decodeOptional(bool present, std::uint64_t micros, std::optional<Duration> &out)
{
    if (!present) {
        return absl::OkStatus();
    }
    const absl::StatusOr<Duration> duration = decodeDuration(micros);
    if (duration.ok()) {
        out = *duration;
    }
    return duration.status();
}

} // namespace

absl::StatusOr<Duration> decodeDuration(std::uint64_t micros)
{
    if (micros > static_cast<std::uint64_t>(longestDuration.count())) {
        return badField("duration");
    }
    return Duration(static_cast<std::int64_t>(micros));
}

std::uint64_t encodeDuration(Duration duration)
{
    return duration.count() < 0 ? 0 : static_cast<std::uint64_t>(duration.count());
}

void encode(LogPoint point, v1::LogPoint &out)
{
    out.set_term(point.term_.value());
    out.set_position(point.position_.value());
}

LogPoint decode(const v1::LogPoint &in)
{
    return {Term(in.term()), Position(in.position())};
}

void encode(const IdempotencyKey &key, v1::IdempotencyKey &out)
{
    out.set_session_started_seconds(key.session_.startedSeconds_);
    out.set_session_nonce(key.session_.nonce_);
    out.set_sequence(key.sequence_.value());
}

IdempotencyKey decode(const v1::IdempotencyKey &in)
{
    return {{in.session_started_seconds(), in.session_nonce()}, Sequence(in.sequence())};
}

v1::RequestKind encode(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Read:
        return v1::REQUEST_KIND_READ;
    case RequestKind::Write:
        return v1::REQUEST_KIND_WRITE;
    case RequestKind::Begin:
        return v1::REQUEST_KIND_BEGIN;
    case RequestKind::Commit:
        return v1::REQUEST_KIND_COMMIT;
    case RequestKind::Rollback:
        return v1::REQUEST_KIND_ROLLBACK;
    case RequestKind::CancelKey:
        return v1::REQUEST_KIND_CANCEL_KEY;
    }
    return v1::REQUEST_KIND_UNSPECIFIED;
}

absl::StatusOr<RequestKind> decode(v1::RequestKind in)
{
    switch (in) {
    case v1::REQUEST_KIND_READ:
        return RequestKind::Read;
    case v1::REQUEST_KIND_WRITE:
        return RequestKind::Write;
    case v1::REQUEST_KIND_BEGIN:
        return RequestKind::Begin;
    case v1::REQUEST_KIND_COMMIT:
        return RequestKind::Commit;
    case v1::REQUEST_KIND_ROLLBACK:
        return RequestKind::Rollback;
    case v1::REQUEST_KIND_CANCEL_KEY:
        return RequestKind::CancelKey;
    default:
        return badField("request kind");
    }
}

void encode(const Request &request, v1::Request &out)
{
    out.set_kind(encode(request.kind_));
    out.set_service(request.service_.value());
    out.set_group(request.group_.value());
    out.set_body(request.body_);
    if (request.key_) {
        encode(*request.key_, *out.mutable_key());
    }
    out.set_acknowledged_below(request.acknowledgedBelow_.value());
    out.set_idempotent(request.idempotent_);
    out.set_repeated_ask(request.repeated_);
    out.set_transaction(request.transaction_.value());
    if (request.maxStaleness_) {
        out.set_max_staleness_us(encodeDuration(*request.maxStaleness_));
    }
    out.set_timeout_us(encodeDuration(request.timeout_));
    out.set_work_class(request.class_.value());
}

absl::StatusOr<Request> decode(const v1::Request &in)
{
    const absl::StatusOr<RequestKind> kind = decode(in.kind());
    if (!kind.ok()) {
        return kind.status();
    }
    const absl::StatusOr<Duration> timeout = decodeDuration(in.timeout_us());
    if (!timeout.ok()) {
        return timeout.status();
    }
    Request request;
    request.kind_ = *kind;
    request.timeout_ = *timeout;
    if (const absl::Status status = decodeOptional(in.has_max_staleness_us(), in.max_staleness_us(), request.maxStaleness_); !status.ok()) {
        return status;
    }
    request.service_ = ServiceId(in.service());
    request.group_ = GroupId(in.group());
    request.body_ = in.body();
    if (in.has_key()) {
        request.key_ = decode(in.key());
    }
    request.acknowledgedBelow_ = Sequence(in.acknowledged_below());
    request.idempotent_ = in.idempotent();
    request.repeated_ = in.repeated_ask();
    request.transaction_ = TransactionId(in.transaction());
    request.class_ = ClassId(in.work_class());
    return request;
}

void encode(const Answer &answer, v1::Answer &out)
{
    out.set_outcome(encode(answer.outcome_));
    out.set_error(encode(answer.error_));
    out.set_body(answer.body_);
    if (answer.retryAfter_) {
        out.set_retry_after_us(encodeDuration(*answer.retryAfter_));
    }
    out.set_transaction(answer.transaction_.value());
    out.set_served_by(answer.servedBy_.value());
    out.set_from_replica(answer.fromReplica_);
}

absl::StatusOr<Answer> decode(const v1::Answer &in)
{
    const absl::StatusOr<Outcome> outcome = decode(in.outcome());
    if (!outcome.ok()) {
        return outcome.status();
    }
    const absl::StatusOr<ErrorKind> error = decode(in.error());
    if (!error.ok()) {
        return error.status();
    }
    Answer answer;
    answer.outcome_ = *outcome;
    answer.error_ = *error;
    if (const absl::Status status = decodeOptional(in.has_retry_after_us(), in.retry_after_us(), answer.retryAfter_); !status.ok()) {
        return status;
    }
    answer.body_ = in.body();
    answer.transaction_ = TransactionId(in.transaction());
    answer.servedBy_ = MemberId(in.served_by());
    answer.fromReplica_ = in.from_replica();
    return answer;
}

void encode(const SessionToken &token, google::protobuf::RepeatedPtrField<v1::SessionPoint> &out)
{
    out.Clear();
    for (const auto &[group, point] : token.points_) {
        v1::SessionPoint &added = *out.Add();
        added.set_group(group.value());
        encode(point, *added.mutable_point());
    }
}

SessionToken decode(const google::protobuf::RepeatedPtrField<v1::SessionPoint> &in)
{
    SessionToken token;
    for (const v1::SessionPoint &point : in) {
        advance(token, GroupId(point.group()), decode(point.point()));
    }
    return token;
}

CallerRequest decodeCallerRequest(const v1::ExecuteRequest &in)
{
    absl::StatusOr<Request> request = decode(in.request());
    if (!request.ok() || request->kind_ == RequestKind::CancelKey) {
        return {{}, ErrorKind::BadRequest};
    }
    absl::StatusOr<SessionToken> token = decodeToken(in.token());
    if (!token.ok()) {
        return {{}, ErrorKind::BadToken};
    }
    request->token_ = *std::move(token);
    return {*std::move(request), ErrorKind::None};
}

v1::ExecuteRequest encodeCallerRequest(const Request &request)
{
    v1::ExecuteRequest out;
    encode(request, *out.mutable_request());
    out.set_token(encodeToken(request.token_));
    return out;
}

v1::ExecuteAnswer encodeCallerAnswer(const Answer &answer)
{
    v1::ExecuteAnswer out;
    encode(answer, *out.mutable_answer());
    out.set_token(encodeToken(answer.token_));
    return out;
}

absl::StatusOr<Answer> decodeCallerAnswer(const v1::ExecuteAnswer &in)
{
    absl::StatusOr<Answer> answer = decode(in.answer());
    if (!answer.ok()) {
        return answer;
    }
    absl::StatusOr<SessionToken> token = decodeToken(in.token());
    if (!token.ok()) {
        return token.status();
    }
    answer->token_ = *std::move(token);
    return answer;
}

} // namespace Figward::Wire
