#include "WireHeartbeat.h"

#include "Protocol.h"

#include <algorithm>
#include <array>
#include <heartbeat.pb.h>

namespace Figward::Wire {

namespace {

/** Limit on the size of a datagram with a forwarded read or its result; VMs send at most 16 KiB of content in one. */
constexpr std::size_t maxForwardedBytes = std::size_t{24} * 1024;
/** Limit on the times in a forwarded read; a longer one is not plausible. */
constexpr Duration maxReadTime = std::chrono::hours(24);
/** Codes of a reply by their number in a datagram. */
constexpr std::array replyCodes{ReplyCode::None,
                                ReplyCode::Retry,
                                ReplyCode::Aborted,
                                ReplyCode::Lagging,
                                ReplyCode::ReadOnly,
                                ReplyCode::Misrouted,
                                ReplyCode::TooMany,
                                ReplyCode::NoStatement,
                                ReplyCode::Failed,
                                ReplyCode::Timeout,
                                ReplyCode::InDoubt,
                                ReplyCode::NoDatabase,
                                ReplyCode::NotAuthenticated,
                                ReplyCode::Malformed,
                                ReplyCode::Other};

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

v1::ForwardedRead::Consistency encodeConsistency(Consistency consistency)
{
    switch (consistency) {
    case Consistency::Primary:
        return v1::ForwardedRead::PRIMARY;
    case Consistency::BoundedStaleness:
        return v1::ForwardedRead::BOUNDED_STALENESS;
    case Consistency::ReadYourWrites:
        return v1::ForwardedRead::READ_YOUR_WRITES;
    }
    return v1::ForwardedRead::CONSISTENCY_UNSPECIFIED;
}

std::optional<Consistency> decodeConsistency(v1::ForwardedRead::Consistency consistency)
{
    switch (consistency) {
    case v1::ForwardedRead::PRIMARY:
        return Consistency::Primary;
    case v1::ForwardedRead::BOUNDED_STALENESS:
        return Consistency::BoundedStaleness;
    case v1::ForwardedRead::READ_YOUR_WRITES:
        return Consistency::ReadYourWrites;
    default:
        return std::nullopt;
    }
}

std::optional<StatementKind> decodeKind(v1::ForwardedRead::Kind kind)
{
    switch (kind) {
    case v1::ForwardedRead::READ:
        return StatementKind::Read;
    case v1::ForwardedRead::EXECUTE:
        return StatementKind::Execute;
    default:
        return std::nullopt;
    }
}

std::optional<ForwardedReadOutcome> decodeOutcome(v1::ForwardedReadResult::Outcome outcome)
{
    switch (outcome) {
    case v1::ForwardedReadResult::RUNNING:
        return ForwardedReadOutcome::Running;
    case v1::ForwardedReadResult::ANSWERED:
        return ForwardedReadOutcome::Answered;
    case v1::ForwardedReadResult::NOT_SERVED:
        return ForwardedReadOutcome::NotServed;
    case v1::ForwardedReadResult::TOO_LARGE:
        return ForwardedReadOutcome::TooLarge;
    default:
        return std::nullopt;
    }
}

Duration readTime(std::uint64_t micros)
{
    return duration(std::min(micros, static_cast<std::uint64_t>(maxReadTime.count())));
}

ClientStatement decodeStatement(const v1::ForwardedRead &body, StatementKind kind)
{
    ClientStatement statement;
    statement.id_ = body.id();
    statement.kind_ = kind;
    statement.text_ = body.text();
    statement.name_ = body.name();
    statement.value_ = body.arguments();
    return statement;
}

std::optional<ForwardedRead> decodeForwardedRead(const v1::Beat &in)
{
    const v1::ForwardedRead &body = in.forwarded_read();
    const std::optional<Consistency> consistency = decodeConsistency(body.consistency());
    const std::optional<StatementKind> kind = decodeKind(body.kind());
    if (!consistency || !kind || body.number() == 0 || body.organisation().empty() || body.service().empty()) {
        return std::nullopt;
    }
    ForwardedRead read{in.name(), VmId(in.incarnation()), in.address(), ZoneId(in.zone()), body.number(), OrganisationId(body.organisation())};
    read.database_ = body.database();
    read.service_ = ServiceId(body.service());
    read.consistency_ = *consistency;
    read.maxStaleness_ = readTime(body.max_staleness());
    read.priority_ = body.priority();
    read.timeLeft_ = readTime(body.time_left());
    if (body.commit_term() != 0) {
        read.lastCommit_ = LogPoint{Term(body.commit_term()), Position(body.commit_position())};
    }
    for (const v1::SessionValue &value : body.values()) {
        read.values_[value.name()] = value.value();
    }
    read.statement_ = decodeStatement(body, *kind);
    read.shape_ = body.shape();
    return read;
}

std::optional<ForwardedReadResult> decodeForwardedReadResult(const v1::Beat &in)
{
    const v1::ForwardedReadResult &body = in.forwarded_read_result();
    const std::optional<ForwardedReadOutcome> outcome = decodeOutcome(body.outcome());
    if (!outcome || body.code() >= replyCodes.size()) {
        return std::nullopt;
    }
    ForwardedReadResult result{VmId(in.incarnation()), VmId(body.to()), body.number(), *outcome};
    if (*outcome == ForwardedReadOutcome::Answered) {
        result.reply_.rows_.assign(body.rows().begin(), body.rows().end());
        result.reply_.code_ = replyCodes.at(body.code());
        result.reply_.receipt_ = body.receipt();
        result.reply_.text_ = body.text();
        if (body.term() != 0) {
            result.reply_.position_ = LogPoint{Term(body.term()), Position(body.position())};
        }
    }
    return result;
}

/** Converts a decoded message of any kind. */
template<typename Message>
std::optional<VmDatagram> asDatagram(std::optional<Message> message)
{
    return message ? std::optional<VmDatagram>(std::move(*message)) : std::nullopt;
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

std::string encodeForwardedRead(const ForwardedRead &read)
{
    v1::Beat out;
    out.set_name(read.name_);
    out.set_incarnation(read.from_.value());
    out.set_address(read.address_);
    out.set_zone(read.zone_.value());
    v1::ForwardedRead &body = *out.mutable_forwarded_read();
    body.set_number(read.number_);
    body.set_organisation(read.organisation_.value());
    body.set_database(read.database_);
    body.set_service(read.service_.value());
    body.set_consistency(encodeConsistency(read.consistency_));
    body.set_max_staleness(micros(read.maxStaleness_));
    body.set_priority(read.priority_);
    body.set_time_left(micros(read.timeLeft_));
    if (read.lastCommit_) {
        body.set_commit_term(read.lastCommit_->term_.value());
        body.set_commit_position(read.lastCommit_->position_.value());
    }
    for (const auto &[name, value] : read.values_) {
        v1::SessionValue &entry = *body.add_values();
        entry.set_name(name);
        entry.set_value(value);
    }
    body.set_id(read.statement_.id_);
    body.set_kind(read.statement_.kind_ == StatementKind::Execute ? v1::ForwardedRead::EXECUTE : v1::ForwardedRead::READ);
    body.set_text(read.statement_.text_);
    body.set_name(read.statement_.name_);
    body.set_arguments(read.statement_.value_);
    body.set_shape(read.shape_);
    return out.SerializeAsString();
}

std::string encodeForwardedReadResult(const ForwardedReadResult &result)
{
    constexpr std::array outcomes{
        v1::ForwardedReadResult::RUNNING, v1::ForwardedReadResult::ANSWERED, v1::ForwardedReadResult::NOT_SERVED, v1::ForwardedReadResult::TOO_LARGE};
    v1::Beat out;
    out.set_incarnation(result.from_.value());
    v1::ForwardedReadResult &body = *out.mutable_forwarded_read_result();
    body.set_to(result.to_.value());
    body.set_number(result.number_);
    body.set_outcome(outcomes.at(static_cast<std::size_t>(result.outcome_)));
    for (const std::string &row : result.reply_.rows_) {
        body.add_rows(row);
    }
    const auto code = std::ranges::find(replyCodes, result.reply_.code_);
    body.set_code(static_cast<std::uint32_t>(std::distance(replyCodes.begin(), code)));
    body.set_receipt(result.reply_.receipt_);
    body.set_text(result.reply_.text_);
    if (result.reply_.position_) {
        body.set_term(result.reply_.position_->term_.value());
        body.set_position(result.reply_.position_->position_.value());
    }
    return out.SerializeAsString();
}

std::optional<VmDatagram> decodeDatagram(std::string_view datagram)
{
    v1::Beat in;
    const bool complete = in.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()));
    const bool isForwarded = in.has_forwarded_read() || in.has_forwarded_read_result();
    if (!complete || in.incarnation() == 0 || (isForwarded && datagram.size() > maxForwardedBytes)) {
        return std::nullopt;
    }
    if (in.has_admission_grant()) {
        return decodeAdmissionGrant(in);
    }
    if (in.has_forwarded_read_result()) {
        return asDatagram(decodeForwardedReadResult(in));
    }
    if (in.name().empty() || in.address().empty()) {
        return std::nullopt;
    }
    if (in.has_forwarded_read()) {
        return asDatagram(decodeForwardedRead(in));
    }
    return in.has_admission_request() ? VmDatagram(decodeAdmissionRequest(in)) : VmDatagram(decodeHeartbeat(in));
}

} // namespace Figward::Wire
