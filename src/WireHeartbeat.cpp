#include "WireHeartbeat.h"

#include "Protocol.h"

#include <algorithm>
#include <heartbeat.pb.h>

namespace Figward::Wire {

namespace {

/** Limit on the permits in one request or grant; a larger number is not plausible. */
constexpr double maxPermits = 1e6;

std::uint64_t micros(Duration duration)
{
    return duration.count() < 0 ? 0 : static_cast<std::uint64_t>(duration.count());
}

Duration duration(std::uint64_t micros)
{
    return Duration(static_cast<std::int64_t>(micros));
}

void encodeSighting(const LagSighting &sighting, v1::LagSighting &out)
{
    out.set_term(sighting.position_.term_.value());
    out.set_position(sighting.position_.position_.value());
    out.set_age(micros(sighting.age_));
}

LagSighting decodeSighting(const v1::LagSighting &in)
{
    return {LogPoint{Term(in.term()), Position(in.position())}, duration(in.age())};
}

void encodeObservations(const GroupObservations &observations, v1::GroupBeat &out)
{
    for (const MemberTotals &member : observations.members_) {
        v1::MemberTotals &totals = *out.add_members();
        totals.set_member(member.member_.value());
        totals.set_answered(member.answered_);
        totals.set_failed(member.failed_);
        totals.set_answer_time(micros(member.answerTime_));
        if (member.lagged_) {
            encodeSighting(*member.lagged_, *totals.mutable_lagged());
        }
    }
    for (const PriorityTotals &priority : observations.priorities_) {
        v1::PriorityTotals &totals = *out.add_priorities();
        totals.set_primary(priority.pool_ == MemberPool::Primary);
        totals.set_priority(priority.priority_);
        totals.set_started(priority.started_);
        totals.set_shed(priority.shed_);
        totals.set_wait_time(micros(priority.waitTime_));
    }
}

/** Decodes at most as many entries as a VM sends, so that a malformed datagram cannot make the leader hold more. */
GroupObservations decodeObservations(const v1::GroupBeat &in)
{
    GroupObservations observations;
    for (const v1::MemberTotals &totals : in.members()) {
        if (observations.members_.size() == maxReportedMembers) {
            break;
        }
        MemberTotals &member = observations.members_.emplace_back();
        member = {MemberId(totals.member()), totals.answered(), totals.failed(), duration(totals.answer_time())};
        if (totals.has_lagged()) {
            member.lagged_ = decodeSighting(totals.lagged());
        }
    }
    for (const v1::PriorityTotals &totals : in.priorities()) {
        if (observations.priorities_.size() == maxReportedPriorities) {
            break;
        }
        const MemberPool pool = totals.primary() ? MemberPool::Primary : MemberPool::Replicas;
        observations.priorities_.push_back({pool, totals.priority(), totals.started(), totals.shed(), duration(totals.wait_time())});
    }
    return observations;
}

void encodeLevel(const AdmissionLevel &level, v1::AdmissionLevel &out)
{
    out.set_priority(level.priority_);
    out.set_fraction(level.fraction_);
    out.set_recovery(micros(level.recovery_));
}

AdmissionLevel decodeLevel(const v1::AdmissionLevel &in)
{
    return {in.priority(), in.fraction(), duration(in.recovery())};
}

void encodeAdvice(const GroupAdvice &advice, v1::GroupAdvice &out)
{
    for (const EjectedMember &ejected : advice.ejected_) {
        v1::EjectedMember &member = *out.add_ejected();
        member.set_member(ejected.member_.value());
        member.set_remaining(micros(ejected.remaining_));
        member.set_probing(ejected.probing_);
    }
    for (const LaggingMember &lagging : advice.lagging_) {
        v1::LaggingMember &member = *out.add_lagging();
        member.set_member(lagging.member_.value());
        encodeSighting(lagging.lagged_, *member.mutable_lagged());
    }
    if (advice.primaryLevel_) {
        encodeLevel(*advice.primaryLevel_, *out.mutable_primary_level());
    }
    if (advice.replicaLevel_) {
        encodeLevel(*advice.replicaLevel_, *out.mutable_replica_level());
    }
}

GroupAdvice decodeAdvice(const v1::GroupAdvice &in)
{
    GroupAdvice advice;
    for (const v1::EjectedMember &member : in.ejected()) {
        advice.ejected_.push_back({MemberId(member.member()), duration(member.remaining()), member.probing()});
    }
    for (const v1::LaggingMember &member : in.lagging()) {
        advice.lagging_.push_back({MemberId(member.member()), decodeSighting(member.lagged())});
    }
    if (in.has_primary_level()) {
        advice.primaryLevel_ = decodeLevel(in.primary_level());
    }
    if (in.has_replica_level()) {
        advice.replicaLevel_ = decodeLevel(in.replica_level());
    }
    return advice;
}

void encodeGroup(const GroupHeartbeat &group, v1::GroupBeat &out)
{
    out.set_group(group.group_.value());
    out.set_epoch(group.epoch_);
    out.set_primary_heard(group.primaryAnswerAge_ ? micros(*group.primaryAnswerAge_) + 1 : 0);
    if (group.sample_) {
        out.set_sample_term(group.sample_->term_.value());
        out.set_sample_position(group.sample_->position_.value());
        out.set_sample_age(micros(group.sampleAge_));
    }
    out.set_resigned(group.resigned_);
    out.set_asks_leader(group.asksLeader_);
    out.set_leader_name(group.leaderName_);
    encodeObservations(group.observations_, out);
    if (group.advice_) {
        encodeAdvice(*group.advice_, *out.mutable_advice());
    }
    if (group.authorityAge_) {
        out.set_authority_age(micros(*group.authorityAge_) + 1);
        out.set_primary(group.primary_.value());
        out.set_term(group.term_.value());
    }
    if (!group.leads_) {
        return;
    }
    out.set_leads(true);
    out.set_generation(group.generation_);
    out.set_steady(group.phase_ == ClaimPhase::Steady);
    out.set_primary(group.primary_.value());
    out.set_term(group.term_.value());
    out.set_claim_left(micros(group.claimRemaining_));
    out.set_renewals(group.renewals_);
}

GroupHeartbeat decodeGroup(const v1::GroupBeat &in)
{
    GroupHeartbeat group;
    group.group_ = ServiceId(in.group());
    group.epoch_ = in.epoch();
    if (in.primary_heard() != 0) {
        group.primaryAnswerAge_ = duration(in.primary_heard() - 1);
    }
    if (in.sample_term() != 0) {
        group.sample_ = LogPoint{Term(in.sample_term()), Position(in.sample_position())};
        group.sampleAge_ = duration(in.sample_age());
    }
    group.leads_ = in.leads();
    group.generation_ = in.generation();
    group.phase_ = in.steady() ? ClaimPhase::Steady : ClaimPhase::Replacing;
    group.primary_ = MemberId(in.primary());
    group.term_ = Term(in.term());
    group.claimRemaining_ = duration(in.claim_left());
    group.renewals_ = in.renewals();
    group.resigned_ = in.resigned();
    group.asksLeader_ = in.asks_leader();
    group.leaderName_ = in.leader_name();
    group.observations_ = decodeObservations(in);
    if (in.has_advice()) {
        group.advice_ = decodeAdvice(in.advice());
    }
    if (in.authority_age() != 0) {
        group.authorityAge_ = duration(in.authority_age() - 1);
    }
    return group;
}

VmHeartbeat decodeHeartbeat(const v1::Beat &in)
{
    VmHeartbeat heartbeat;
    heartbeat.name_ = in.name();
    heartbeat.from_ = VmId(in.incarnation());
    heartbeat.address_ = in.address();
    heartbeat.zone_ = ZoneId(in.zone());
    heartbeat.sent_ = Time(Duration(in.sent()));
    heartbeat.echo_ = Time(Duration(in.echo()));
    heartbeat.echoOf_ = VmId(in.echo_of());
    heartbeat.configuration_ = ConfigVersion(in.configuration());
    if (in.configuration_age() != 0) {
        heartbeat.configurationAge_ = duration(in.configuration_age() - 1);
    }
    heartbeat.directoryFingerprint_ = in.directory_mark();
    if (in.directory_age() != 0) {
        heartbeat.directoryAge_ = duration(in.directory_age() - 1);
    }
    heartbeat.interval_ = in.interval() == 0 ? heartbeatInterval : duration(in.interval());
    heartbeat.leaving_ = in.leaving();
    heartbeat.replyAtOnce_ = in.answer_now();
    for (const v1::GroupBeat &group : in.groups()) {
        heartbeat.groups_.push_back(decodeGroup(group));
    }
    return heartbeat;
}

AdmissionRequest decodeAdmissionRequest(const v1::Beat &in)
{
    const v1::AdmissionRequest &body = in.admission_request();
    AdmissionRequest request{in.name(), VmId(in.incarnation()), in.address(), ZoneId(in.zone()), OrganisationId(body.organisation())};
    request.number_ = body.number();
    request.wanted_ = std::clamp(body.wanted(), 0.0, maxPermits);
    request.isLoan_ = body.lends();
    for (const v1::PermitDemand &demand : body.demands()) {
        if (request.demands_.size() < maxReportedPriorities) {
            request.demands_.push_back({demand.priority(), std::min(demand.wanted(), static_cast<unsigned>(maxPermits))});
        }
    }
    return request;
}

AdmissionGrant decodeAdmissionGrant(const v1::Beat &in)
{
    const v1::AdmissionGrant &body = in.admission_grant();
    AdmissionGrant grant{VmId(in.incarnation()), VmId(body.to()), OrganisationId(body.organisation()), body.number()};
    grant.granted_ = std::clamp(body.granted(), 0.0, maxPermits);
    grant.nextIn_ = duration(body.next_in());
    return grant;
}

} // namespace

std::string encodeHeartbeat(const VmHeartbeat &heartbeat)
{
    v1::Beat out;
    out.set_name(heartbeat.name_);
    out.set_incarnation(heartbeat.from_.value());
    out.set_address(heartbeat.address_);
    out.set_zone(heartbeat.zone_.value());
    out.set_sent(heartbeat.sent_.time_since_epoch().count());
    out.set_echo(heartbeat.echo_.time_since_epoch().count());
    out.set_echo_of(heartbeat.echoOf_.value());
    out.set_configuration(heartbeat.configuration_.value());
    out.set_configuration_age(heartbeat.configurationAge_ ? micros(*heartbeat.configurationAge_) + 1 : 0);
    out.set_directory_mark(heartbeat.directoryFingerprint_);
    out.set_directory_age(heartbeat.directoryAge_ ? micros(*heartbeat.directoryAge_) + 1 : 0);
    out.set_interval(micros(heartbeat.interval_));
    out.set_leaving(heartbeat.leaving_);
    out.set_answer_now(heartbeat.replyAtOnce_);
    for (const GroupHeartbeat &group : heartbeat.groups_) {
        encodeGroup(group, *out.add_groups());
    }
    return out.SerializeAsString();
}

std::string encodeAdmissionRequest(const AdmissionRequest &request)
{
    v1::Beat out;
    out.set_name(request.name_);
    out.set_incarnation(request.from_.value());
    out.set_address(request.address_);
    out.set_zone(request.zone_.value());
    v1::AdmissionRequest &body = *out.mutable_admission_request();
    body.set_organisation(request.organisation_.value());
    body.set_number(request.number_);
    body.set_wanted(request.wanted_);
    body.set_lends(request.isLoan_);
    for (const PermitDemand &demand : request.demands_) {
        v1::PermitDemand &encoded = *body.add_demands();
        encoded.set_priority(demand.priority_);
        encoded.set_wanted(demand.wanted_);
    }
    return out.SerializeAsString();
}

std::string encodeAdmissionGrant(const AdmissionGrant &grant)
{
    v1::Beat out;
    out.set_incarnation(grant.from_.value());
    v1::AdmissionGrant &body = *out.mutable_admission_grant();
    body.set_to(grant.to_.value());
    body.set_organisation(grant.organisation_.value());
    body.set_number(grant.number_);
    body.set_granted(grant.granted_);
    body.set_next_in(micros(grant.nextIn_));
    return out.SerializeAsString();
}

std::optional<VmDatagram> decodeDatagram(std::string_view datagram)
{
    v1::Beat in;
    const bool complete = in.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()));
    if (!complete || in.incarnation() == 0) {
        return std::nullopt;
    }
    if (in.has_admission_grant()) {
        return decodeAdmissionGrant(in);
    }
    if (in.name().empty() || in.address().empty()) {
        return std::nullopt;
    }
    return in.has_admission_request() ? VmDatagram(decodeAdmissionRequest(in)) : VmDatagram(decodeHeartbeat(in));
}

} // namespace Figward::Wire
