#include "SessionHeartbeats.h"

#include "GroupLeadership.h"
#include "MemberConnections.h"
#include "PrimaryReplacement.h"
#include "ProxyState.h"
#include "SessionService.h"
#include "StoreReads.h"

#include <absl/strings/str_cat.h>

namespace Figward {

namespace {

/** Several heartbeats fit into authorityTime, so that losing one or two in a row costs no authority. */
constexpr Duration heartbeatInterval = std::chrono::milliseconds(250);
/** VMs that the store does not list and that were silent for longer are sent nothing more. */
constexpr Duration longSilence = std::chrono::seconds(20);

GroupHeartbeat describe(ProxyState &state, const SessionGroup &group, Time now)
{
    GroupHeartbeat beat;
    beat.group_ = group.id_;
    beat.epoch_ = group.authority_.epoch_;
    const MemberState *primary = findMember(state, group.authority_.primary_);
    if (primary != nullptr && primary->heard_) {
        beat.primaryHeard_ = now - *primary->heard_;
    }
    if (const std::optional<PositionSample> sample = newestSample(group.samples_)) {
        beat.sample_ = sample->position_;
        beat.sampleAge_ = now - sample->sentAt_;
    }
    if (group.leader_ && now < group.leader_->validUntil_) {
        const LeaderState &leader = *group.leader_;
        beat.leads_ = true;
        beat.generation_ = leader.claim_.generation_;
        beat.phase_ = leader.claim_.phase_;
        beat.epoch_ = leader.claim_.epoch_;
        beat.primary_ = leader.claim_.primary_;
        beat.term_ = leader.claim_.term_;
        beat.claimLeft_ = leader.validUntil_ - now;
        beat.renewals_ = leader.confirmedRenewals_;
    }
    return beat;
}

VmHeartbeat makeHeartbeat(ProxyState &state, Time now)
{
    const SessionServiceState &sessions = *state.sessions_;
    VmHeartbeat heartbeat;
    heartbeat.name_ = sessions.identity_.vm_.name_;
    heartbeat.from_ = sessions.identity_.vm_.incarnation_;
    heartbeat.address_ = sessions.identity_.vm_.address_;
    heartbeat.zone_ = sessions.identity_.vm_.zone_;
    heartbeat.sent_ = now;
    heartbeat.configuration_ = sessions.configuration_ ? sessions.configuration_->version_ : ConfigVersion(0);
    if (sessions.schedule_.configurationChecked_) {
        heartbeat.configurationAge_ = now - *sessions.schedule_.configurationChecked_;
    }
    heartbeat.leaving_ = sessions.drainSince_.has_value();
    for (const auto &[id, group] : sessions.groups_) {
        heartbeat.groups_.push_back(describe(state, group, now));
    }
    return heartbeat;
}

/** Takes the sender's place among the known VMs; true if it was not known, or not in this incarnation. */
bool notePeer(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out)
{
    PeerVm &peer = state.sessions_->peers_[heartbeat.name_];
    const bool unknown = peer.vm_.incarnation_ != heartbeat.from_;
    if (!unknown && heartbeat.sent_ < peer.itsClock_) {
        return false; // Overtaken by a later one, which said more.
    }
    if (unknown) {
        out.emplace_back(
            WriteLog{LogNumber::VmSeen, {{"vm", heartbeat.name_}, {"incarnation", absl::StrCat(heartbeat.from_.value())}, {"address", heartbeat.address_}}});
        peer.groups_.clear();
    }
    peer.vm_ = EntryVm{heartbeat.name_, heartbeat.from_, heartbeat.address_, heartbeat.zone_};
    peer.heard_ = now;
    peer.itsClock_ = heartbeat.sent_;
    peer.itsClockAt_ = now;
    peer.configuration_ = heartbeat.configuration_;
    peer.leaving_ = heartbeat.leaving_;
    for (const GroupHeartbeat &beat : heartbeat.groups_) {
        peer.groups_[beat.group_] = beat;
    }
    return unknown;
}

void takeLeaderWord(SessionGroup &group, const VmHeartbeat &heartbeat, const GroupHeartbeat &beat, bool echoed, Time now)
{
    group.leaderHeard_ = now;
    group.claimEnds_ = now + beat.claimLeft_;
    group.leaderGeneration_ = beat.generation_;
    group.leaderRenewals_ = beat.renewals_;
    if (beat.phase_ == ClaimPhase::Replacing) {
        revokeAuthority(group.authority_, beat.epoch_);
    } else if (echoed) {
        renewAuthority(group.authority_, beat.epoch_, beat.primary_, beat.term_, heartbeat.echo_);
    }
}

void takeGroup(ProxyState &state, const VmHeartbeat &heartbeat, const GroupHeartbeat &beat, Time now)
{
    SessionGroup *group = findGroup(state, beat.group_);
    if (group == nullptr) {
        return;
    }
    const bool echoed = heartbeat.echoOf_ == state.sessions_->identity_.vm_.incarnation_;
    const std::uint64_t epochBefore = group->authority_.epoch_;
    if (beat.leads_) {
        takeLeaderWord(*group, heartbeat, beat, echoed, now);
    }
    if (group->authority_.epoch_ != epochBefore) {
        state.sessions_->heartbeatNow_ = true; // The leader waits for this VM's word.
    }
    const bool sameTerm = beat.sample_ && beat.sample_->term_ == group->authority_.term_;
    if (echoed && sameTerm) {
        addSample(group->samples_, {heartbeat.echo_ - beat.sampleAge_, *beat.sample_});
    }
}

} // namespace

bool isFresh(const PeerVm &peer, Time now)
{
    return peer.heard_ && now - *peer.heard_ < peerSilence;
}

void onHeartbeatReceived(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out)
{
    const EntryVm &self = state.sessions_->identity_.vm_;
    if (heartbeat.name_ == self.name_) {
        return;
    }
    const bool unknown = notePeer(state, heartbeat, now, out);
    if (unknown || heartbeat.answerNow_) {
        state.sessions_->heartbeatNow_ = true;
    }
    for (const GroupHeartbeat &beat : heartbeat.groups_) {
        takeGroup(state, heartbeat, beat, now);
    }
    if (heartbeat.configurationAge_) {
        noteConfigurationChecked(state, now - *heartbeat.configurationAge_);
    }
    const ConfigVersion mine = state.sessions_->configuration_ ? state.sessions_->configuration_->version_ : ConfigVersion(0);
    if (mine < heartbeat.configuration_) {
        askPeerForConfiguration(state, heartbeat.address_, now, out);
    }
}

void sendHeartbeats(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    const bool atOnce = std::exchange(sessions.heartbeatNow_, false);
    if (!atOnce && now < sessions.heartbeatAt_) {
        return;
    }
    sessions.heartbeatAt_ = now + heartbeatInterval;
    VmHeartbeat heartbeat = makeHeartbeat(state, now);
    for (const auto &[name, peer] : sessions.peers_) {
        const bool longGone = !peer.registered_ && (!peer.heard_ || now - *peer.heard_ > longSilence);
        if (peer.vm_.address_.empty() || longGone) {
            continue;
        }
        heartbeat.echo_ = peer.itsClock_;
        heartbeat.echoOf_ = peer.vm_.incarnation_;
        out.emplace_back(SessionEffect(SendHeartbeat{peer.vm_.address_, heartbeat}));
    }
}

} // namespace Figward
