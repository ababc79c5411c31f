#include "WirePeer.h"

#include "Overloaded.h"
#include "WirePlatform.h"
#include "WireRequest.h"

namespace Figward::Wire {

namespace {

void encodeBody(const ForwardRequest &body, v1::PeerMessage &out)
{
    v1::ForwardRequest &forward = *out.mutable_forward_request();
    forward.set_id(body.id_.value());
    encode(body.request_, *forward.mutable_request());
    encode(body.request_.token_, *forward.mutable_seen());
}

void encodeBody(const ForwardAnswer &body, v1::PeerMessage &out)
{
    v1::ForwardAnswer &forward = *out.mutable_forward_answer();
    forward.set_id(body.id_.value());
    encode(body.answer_, *forward.mutable_answer());
    encode(body.answer_.token_, *forward.mutable_seen());
}

void encodeBody(const AbandonTransaction &body, v1::PeerMessage &out)
{
    out.mutable_abandon_transaction()->set_transaction(body.transaction_.value());
}

void encodeBody(const SuspicionQuery &body, v1::PeerMessage &out)
{
    v1::SuspicionQuery &query = *out.mutable_suspicion_query();
    query.set_group(body.group_.value());
    query.set_term(body.term_.value());
    query.set_primary(body.primary_.value());
}

void encodeBody(const SuspicionAnswer &body, v1::PeerMessage &out)
{
    v1::SuspicionAnswer &answer = *out.mutable_suspicion_answer();
    answer.set_group(body.group_.value());
    answer.set_term(body.term_.value());
    answer.set_primary_seen(body.primarySeen_);
}

void encodeBody(const PrimaryNews &body, v1::PeerMessage &out)
{
    v1::PrimaryNews &news = *out.mutable_primary_news();
    news.set_group(body.group_.value());
    news.set_term(body.term_.value());
    news.set_primary(body.primary_.value());
}

void encodeBody(const Heartbeat &body, v1::PeerMessage &out)
{
    encode(body.sender_, *out.mutable_heartbeat()->mutable_sender());
    out.mutable_heartbeat()->set_wants_vms(body.wantsVms_);
}

void encodeBody(const VmListNews &body, v1::PeerMessage &out)
{
    v1::VmListNews &news = *out.mutable_vm_list_news();
    for (const VmInfo &vm : body.vms_) {
        encode(vm, *news.add_vms());
    }
    for (const VmId gone : body.gone_) {
        news.add_gone(gone.value());
    }
}

void encodeBody(const ManifestRequest & /*body*/, v1::PeerMessage &out)
{
    out.mutable_manifest_request();
}

void encodeBody(const ManifestNews &body, v1::PeerMessage &out)
{
    out.mutable_manifest_news()->set_version(body.version_.value());
    out.mutable_manifest_news()->set_manifest(body.manifest_);
}

void encodeBody(const PartsRequest &body, v1::PeerMessage &out)
{
    out.mutable_parts_request()->mutable_hashes()->Assign(body.hashes_.begin(), body.hashes_.end());
}

void encodeBody(const PartsNews &body, v1::PeerMessage &out)
{
    out.mutable_parts_news()->mutable_parts()->Assign(body.parts_.begin(), body.parts_.end());
}

void encodeBody(const QuotaRequest &body, v1::PeerMessage &out)
{
    v1::QuotaRequest &request = *out.mutable_quota_request();
    request.set_group(body.group_.value());
    request.set_ask(body.ask_);
    request.set_connections(body.connections_.value());
    request.set_slots(body.slots_.value());
}

void encodeBody(const QuotaLoan &body, v1::PeerMessage &out)
{
    v1::QuotaLoan &loan = *out.mutable_quota_loan();
    loan.set_group(body.group_.value());
    loan.set_ask(body.ask_);
    loan.set_loan(body.loan_);
    loan.set_connections(body.connections_.value());
    loan.set_slots(body.slots_.value());
    loan.set_lease_us(encodeDuration(body.lease_));
}

void encodeBody(const QuotaReturn &body, v1::PeerMessage &out)
{
    out.mutable_quota_return()->set_group(body.group_.value());
    out.mutable_quota_return()->set_loan(body.loan_);
}

void encodeBody(const TermHandover &body, v1::PeerMessage &out)
{
    v1::TermHandover &handover = *out.mutable_term_handover();
    handover.set_group(body.group_.value());
    handover.set_first_term(body.first_.value());
    handover.set_last_term(body.last_.value());
}

void encodeBody(const StatusNews &body, v1::PeerMessage &out)
{
    out.mutable_status_news()->set_report(body.report_);
}

absl::StatusOr<PeerBody> decodeForwardRequest(const v1::ForwardRequest &in)
{
    absl::StatusOr<Request> request = decode(in.request());
    if (!request.ok()) {
        return request.status();
    }
    request->token_ = decode(in.seen());
    return ForwardRequest{RequestId(in.id()), *std::move(request)};
}

absl::StatusOr<PeerBody> decodeForwardAnswer(const v1::ForwardAnswer &in)
{
    absl::StatusOr<Answer> answer = decode(in.answer());
    if (!answer.ok()) {
        return answer.status();
    }
    answer->token_ = decode(in.seen());
    return ForwardAnswer{RequestId(in.id()), *std::move(answer)};
}

PeerBody decodeVmList(const v1::VmListNews &in)
{
    VmListNews news;
    for (const v1::VmInfo &vm : in.vms()) {
        news.vms_.push_back(decode(vm));
    }
    for (const std::uint64_t gone : in.gone()) {
        news.gone_.emplace_back(gone);
    }
    return news;
}

absl::StatusOr<PeerBody> decodeQuotaLoan(const v1::QuotaLoan &in)
{
    const absl::StatusOr<Duration> lease = decodeDuration(in.lease_us());
    if (!lease.ok()) {
        return lease.status();
    }
    return QuotaLoan{GroupId(in.group()), in.ask(), in.loan(), ConnectionCount(in.connections()), SlotCount(in.slots()), *lease};
}

absl::StatusOr<PeerBody> decodeBody(const v1::PeerMessage &in)
{
    switch (in.body_case()) {
    case v1::PeerMessage::kForwardRequest:
        return decodeForwardRequest(in.forward_request());
    case v1::PeerMessage::kForwardAnswer:
        return decodeForwardAnswer(in.forward_answer());
    case v1::PeerMessage::kAbandonTransaction:
        return AbandonTransaction{TransactionId(in.abandon_transaction().transaction())};
    case v1::PeerMessage::kSuspicionQuery:
        return SuspicionQuery{GroupId(in.suspicion_query().group()), Term(in.suspicion_query().term()), MemberId(in.suspicion_query().primary())};
    case v1::PeerMessage::kSuspicionAnswer:
        return SuspicionAnswer{GroupId(in.suspicion_answer().group()), Term(in.suspicion_answer().term()), in.suspicion_answer().primary_seen()};
    case v1::PeerMessage::kPrimaryNews:
        return PrimaryNews{GroupId(in.primary_news().group()), Term(in.primary_news().term()), MemberId(in.primary_news().primary())};
    case v1::PeerMessage::kHeartbeat:
        return Heartbeat{decode(in.heartbeat().sender()), in.heartbeat().wants_vms()};
    case v1::PeerMessage::kVmListNews:
        return decodeVmList(in.vm_list_news());
    case v1::PeerMessage::kManifestRequest:
        return ManifestRequest{};
    case v1::PeerMessage::kManifestNews:
        return ManifestNews{ConfigVersion(in.manifest_news().version()), in.manifest_news().manifest()};
    case v1::PeerMessage::kPartsRequest:
        return PartsRequest{{in.parts_request().hashes().begin(), in.parts_request().hashes().end()}};
    case v1::PeerMessage::kPartsNews:
        return PartsNews{{in.parts_news().parts().begin(), in.parts_news().parts().end()}};
    case v1::PeerMessage::kQuotaRequest:
        return QuotaRequest{GroupId(in.quota_request().group()),
                            in.quota_request().ask(),
                            ConnectionCount(in.quota_request().connections()),
                            SlotCount(in.quota_request().slots())};
    case v1::PeerMessage::kQuotaLoan:
        return decodeQuotaLoan(in.quota_loan());
    case v1::PeerMessage::kQuotaReturn:
        return QuotaReturn{GroupId(in.quota_return().group()), in.quota_return().loan()};
    case v1::PeerMessage::kTermHandover:
        return TermHandover{GroupId(in.term_handover().group()), Term(in.term_handover().first_term()), Term(in.term_handover().last_term())};
    case v1::PeerMessage::kStatusNews:
        return StatusNews{in.status_news().report()};
    case v1::PeerMessage::BODY_NOT_SET:
        break;
    }
    return absl::InvalidArgumentError("peer message");
}

} // namespace

void encodePeer(const PeerMessage &message, v1::PeerMessage &out)
{
    out.set_from(message.from_.value());
    out.set_to(message.to_.value());
    out.set_from_address(message.fromAddress_);
    out.set_config_version(message.configVersion_.value());
    std::visit([&out](const auto &body) { encodeBody(body, out); }, message.body_);
}

absl::StatusOr<PeerMessage> decodePeer(const v1::PeerMessage &in)
{
    absl::StatusOr<PeerBody> body = decodeBody(in);
    if (!body.ok()) {
        return body.status();
    }
    return PeerMessage{VmId(in.from()), VmId(in.to()), in.from_address(), ConfigVersion(in.config_version()), *std::move(body)};
}

} // namespace Figward::Wire
