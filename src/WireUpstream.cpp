#include "WireUpstream.h"

#include "Overloaded.h"
#include "WireRequest.h"

namespace Figward::Wire {

namespace {

v1::UpstreamResult encode(UpstreamResult result)
{
    switch (result) {
    case UpstreamResult::Done:
        return v1::UPSTREAM_RESULT_DONE;
    case UpstreamResult::Recorded:
        return v1::UPSTREAM_RESULT_RECORDED;
    case UpstreamResult::Cancelled:
        return v1::UPSTREAM_RESULT_CANCELLED;
    case UpstreamResult::Trimmed:
        return v1::UPSTREAM_RESULT_TRIMMED;
    case UpstreamResult::WrongTerm:
        return v1::UPSTREAM_RESULT_WRONG_TERM;
    case UpstreamResult::Busy:
        return v1::UPSTREAM_RESULT_BUSY;
    case UpstreamResult::Rejected:
        return v1::UPSTREAM_RESULT_REJECTED;
    case UpstreamResult::NoTransaction:
        return v1::UPSTREAM_RESULT_NO_TRANSACTION;
    }
    return v1::UPSTREAM_RESULT_UNSPECIFIED;
}

absl::StatusOr<UpstreamResult> decode(v1::UpstreamResult in)
{
    switch (in) {
    case v1::UPSTREAM_RESULT_DONE:
        return UpstreamResult::Done;
    case v1::UPSTREAM_RESULT_RECORDED:
        return UpstreamResult::Recorded;
    case v1::UPSTREAM_RESULT_CANCELLED:
        return UpstreamResult::Cancelled;
    case v1::UPSTREAM_RESULT_TRIMMED:
        return UpstreamResult::Trimmed;
    case v1::UPSTREAM_RESULT_WRONG_TERM:
        return UpstreamResult::WrongTerm;
    case v1::UPSTREAM_RESULT_BUSY:
        return UpstreamResult::Busy;
    case v1::UPSTREAM_RESULT_REJECTED:
        return UpstreamResult::Rejected;
    case v1::UPSTREAM_RESULT_NO_TRANSACTION:
        return UpstreamResult::NoTransaction;
    default:
        return absl::InvalidArgumentError("upstream result");
    }
}

} // namespace

void encode(const MemberStatus &status, v1::MemberStatus &out)
{
    encode(status.log_, *out.mutable_log());
    out.set_fenced_term(status.fenced_.value());
    out.set_primary(status.primary_);
    for (const LogPoint point : status.termStarts_) {
        encode(point, *out.add_term_starts());
    }
}

MemberStatus decode(const v1::MemberStatus &in)
{
    MemberStatus status{decode(in.log()), Term(in.fenced_term()), in.primary(), {}};
    status.termStarts_.reserve(static_cast<std::size_t>(in.term_starts_size()));
    for (const v1::LogPoint &point : in.term_starts()) {
        status.termStarts_.push_back(decode(point));
    }
    return status;
}

void encode(const UpstreamStatement &statement, v1::UpstreamStatement &out)
{
    out.set_id(statement.id_.value());
    out.set_kind(encode(statement.kind_));
    out.set_required_term(statement.requiredTerm_.value());
    if (statement.key_) {
        encode(*statement.key_, *out.mutable_key());
    }
    out.set_acknowledged_below(statement.acknowledgedBelow_.value());
    out.set_body(statement.body_);
}

absl::StatusOr<UpstreamStatement> decode(const v1::UpstreamStatement &in)
{
    const absl::StatusOr<RequestKind> kind = decode(in.kind());
    if (!kind.ok()) {
        return kind.status();
    }
    UpstreamStatement statement;
    statement.id_ = StatementId(in.id());
    statement.kind_ = *kind;
    statement.requiredTerm_ = Term(in.required_term());
    if (in.has_key()) {
        statement.key_ = decode(in.key());
    }
    statement.acknowledgedBelow_ = Sequence(in.acknowledged_below());
    statement.body_ = in.body();
    return statement;
}

void encode(const UpstreamAnswer &answer, v1::UpstreamAnswer &out)
{
    out.set_id(answer.id_.value());
    out.set_result(encode(answer.result_));
    out.set_body(answer.body_);
    encode(answer.point_, *out.mutable_point());
    encode(answer.status_, *out.mutable_status());
}

absl::StatusOr<UpstreamAnswer> decode(const v1::UpstreamAnswer &in)
{
    const absl::StatusOr<UpstreamResult> result = decode(in.result());
    if (!result.ok()) {
        return result.status();
    }
    return UpstreamAnswer{StatementId(in.id()), *result, in.body(), decode(in.point()), decode(in.status())};
}

v1::ControlRequest encodeControl(const MemberId &member, const ControlBody &body)
{
    v1::ControlRequest out;
    out.set_member(member.value());
    const Overloaded encodeBody{
        [&](const Probe &) { out.mutable_probe(); },
        [&](const Fence &call) { out.mutable_fence()->set_term(call.term_.value()); },
        [&](const Promote &call) { out.mutable_promote()->set_term(call.term_.value()); },
        [&](const Follow &call) {
            out.mutable_follow()->set_primary(call.primary_.value());
            out.mutable_follow()->set_term(call.term_.value());
        },
        [&](const TrimKeys &call) {
            out.mutable_trim_keys()->set_sessions_before_seconds(call.sessionsBefore_);
            out.mutable_trim_keys()->set_required_term(call.requiredTerm_.value());
        },
    };
    std::visit(encodeBody, body);
    return out;
}

absl::StatusOr<ControlBody> decodeControl(const v1::ControlRequest &in)
{
    switch (in.body_case()) {
    case v1::ControlRequest::kProbe:
        return Probe{};
    case v1::ControlRequest::kFence:
        return Fence{Term(in.fence().term())};
    case v1::ControlRequest::kPromote:
        return Promote{Term(in.promote().term())};
    case v1::ControlRequest::kFollow:
        return Follow{MemberId(in.follow().primary()), Term(in.follow().term())};
    case v1::ControlRequest::kTrimKeys:
        return TrimKeys{in.trim_keys().sessions_before_seconds(), Term(in.trim_keys().required_term())};
    case v1::ControlRequest::BODY_NOT_SET:
        break;
    }
    return absl::InvalidArgumentError("control call");
}

v1::ControlReply encodeControlReply(const ControlAnswer &answer)
{
    v1::ControlReply out;
    out.set_refused(answer.result_ == ControlResult::Refused);
    encode(answer.status_, *out.mutable_status());
    return out;
}

ControlAnswer decodeControlReply(ControlId id, const v1::ControlReply &in)
{
    return {id, in.refused() ? ControlResult::Refused : ControlResult::Ok, decode(in.status())};
}

} // namespace Figward::Wire
