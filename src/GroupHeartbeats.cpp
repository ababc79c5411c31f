#include "GroupHeartbeats.h"

#include "GroupAdvice.h"
#include "GroupInterest.h"
#include "PlannedRevocation.h"
#include "PrimaryReplacement.h"
#include "ProxyState.h"
#include "SessionHeartbeats.h"
#include "SessionLookup.h"

#include <algorithm>

namespace Figward {

namespace {

bool leads(const PeerVm &peer, const ServiceId &group)
{
    const auto beat = peer.groups_.find(group);
    return beat != peer.groups_.end() && beat->second.leads_;
}

void applyLeaderStatement(ProxyState &state, SessionGroup &group, const VmHeartbeat &heartbeat, const GroupHeartbeat &beat, bool echoed, Time now)
{
    group.lastLeaderHeartbeat_ = now;
    group.claimEnds_ = now + beat.claimRemaining_;
    group.leaderGeneration_ = beat.generation_;
    group.leaderRenewals_ = beat.renewals_;
    if (beat.advice_) {
        const Time sentAt = sendingTime(*state.sessions_, heartbeat, now);
        receiveAdvice(state, group, *beat.advice_, sentAt);
    }
    if (beat.phase_ == ClaimPhase::Replacing) {
        revokePrimary(state, group, beat.epoch_, now);
    } else if (echoed) {
        renewAuthority(group.authority_, beat.epoch_, beat.primary_, beat.term_, heartbeat.echo_);
    }
}

/** Records what another VM reports of the group's epoch, and when the primary last answered that VM. */
void recordReport(const SessionServiceState &sessions, SessionGroup &group, const VmHeartbeat &heartbeat, const GroupHeartbeat &beat, Time now)
{
    group.highestEpochHeard_ = std::max(group.highestEpochHeard_, beat.epoch_);
    if (!beat.primaryAnswerAge_ || beat.epoch_ < group.primaryHeardEpoch_) {
        return;
    }
    const Time answeredAt = sendingTime(sessions, heartbeat, now) - *beat.primaryAnswerAge_;
    group.primaryHeardAt_ = beat.epoch_ == group.primaryHeardEpoch_ ? std::max(group.primaryHeardAt_, answeredAt) : answeredAt;
    group.primaryHeardEpoch_ = beat.epoch_;
}

} // namespace

GroupHeartbeat describeGroup(ProxyState &state, const SessionGroup &group, Time now)
{
    GroupHeartbeat beat;
    beat.group_ = group.id_;
    beat.epoch_ = group.authority_.epoch_;
    const bool leads = group.leader_ && now < group.leader_->validUntil_;
    beat.resigned_ = group.resigned_;
    const MemberState *primary = findMember(state, group.authority_.primary_);
    if (leads) {
        // Includes what other VMs reported to the leader: in a large fleet they report only to the leader.
        beat.primaryAnswerAge_ = timeSincePrimaryHeard(state, group, now);
    } else if (primary != nullptr && primary->lastAnsweredAt_) {
        beat.primaryAnswerAge_ = now - *primary->lastAnsweredAt_;
    }
    if (const std::optional<PositionSample> sample = newestSample(group.samples_)) {
        beat.sample_ = sample->position_;
        beat.sampleAge_ = now - sample->sentAt_;
    }
    const bool leaderIsSilent = now - group.lastLeaderHeartbeat_ > leaderSilenceTimeout;
    if (!leads && leaderIsSilent && isDelegate(*state.sessions_) && holdsAuthority(group.authority_, now)) {
        beat.authorityAge_ = now - (group.authority_.validUntil_ - authorityDuration);
        beat.primary_ = group.authority_.primary_;
        beat.term_ = group.authority_.term_;
    }
    if (!leads && group.lastObservedAt_ && now - *group.lastObservedAt_ < reportTime) {
        beat.observations_ = reportOf(state, group, now);
    }
    if (leads) {
        const LeaderState &leader = *group.leader_;
        beat.leads_ = true;
        beat.generation_ = leader.claim_.generation_;
        beat.phase_ = leader.claim_.phase_;
        beat.epoch_ = leader.claim_.epoch_;
        beat.primary_ = leader.claim_.primary_;
        beat.term_ = leader.claim_.term_;
        beat.claimRemaining_ = leader.validUntil_ - now;
        beat.renewals_ = leader.confirmedRenewals_;
        if (const GroupAdvice *advice = currentAdvice(group.advice_, now)) {
            beat.advice_ = *advice;
        }
    }
    return beat;
}

void addGroups(VmHeartbeat &heartbeat, const PeerVm &peer, const std::vector<GroupHeartbeat> &groups, bool all)
{
    const bool ownZone = peer.vm_.zone_ == heartbeat.zone_;
    heartbeat.groups_.clear();
    for (const GroupHeartbeat &beat : groups) {
        const bool resigned = beat.resigned_ != 0 && heartbeat.interval_ == heartbeatInterval;
        const bool passesOnAuthority = beat.authorityAge_ && ownZone;
        if (all || beat.leads_ || leads(peer, beat.group_) || resigned || passesOnAuthority) {
            heartbeat.groups_.push_back(beat);
            if (!leads(peer, beat.group_)) {
                heartbeat.groups_.back().observations_ = {};
            }
        }
    }
}

void applyGroupHeartbeat(ProxyState &state, const VmHeartbeat &heartbeat, const GroupHeartbeat &beat, Time now)
{
    SessionGroup *group = findGroup(state, beat.group_);
    if (group == nullptr) {
        return;
    }
    if (group->resigned_ < beat.resigned_) {
        group->resigned_ = beat.resigned_;
        group->lastLeaderHeartbeat_ = Time(); // Allows another VM to claim the group at once.
        state.sessions_->heartbeatNow_ = true;
    }
    const bool echoed = heartbeat.echoOf_ == state.sessions_->identity_.vm_.incarnation_;
    const std::uint64_t epochBefore = group->authority_.epoch_;
    recordReport(*state.sessions_, *group, heartbeat, beat, now);
    recordLeaderName(state, *group, beat, heartbeat.name_, now);
    if (group->leader_) {
        mergeObservations(group->leader_->reports_, heartbeat.name_, heartbeat.from_, beat.observations_, now);
    }
    if (beat.leads_) {
        applyLeaderStatement(state, *group, heartbeat, beat, echoed, now);
    }
    // A VM that is not listed in the store, or that has not read the claims since, might accept authority that a revoking leader does not know of.
    const StoreSchedule &schedule = state.sessions_->schedule_;
    if (beat.authorityAge_ && echoed && schedule.registered_ && schedule.claimsRead_) {
        renewAuthority(group->authority_, beat.epoch_, beat.primary_, beat.term_, heartbeat.echo_ - *beat.authorityAge_);
    }
    if (group->authority_.epoch_ != epochBefore) {
        state.sessions_->heartbeatNow_ = true; // The leader waits for this VM's confirmation.
    }
    const bool sameTerm = beat.sample_ && beat.sample_->term_ == group->authority_.term_;
    if (echoed && sameTerm) {
        addSample(group->samples_, {heartbeat.echo_ - beat.sampleAge_, *beat.sample_});
    }
    // As long as no primary is named in this epoch, samples are of the revoked one, and its successor may have received less.
    const bool isOfThisPrimary = sameTerm && beat.epoch_ == group->authority_.epoch_ && group->authority_.primary_ != MemberId();
    if (isOfThisPrimary) {
        recordProgress(group->progress_, beat.epoch_, *beat.sample_);
    }
}

} // namespace Figward
