#include "SessionHeartbeats.h"

#include "ConfigurationReads.h"
#include "Delegates.h"
#include "GroupHeartbeats.h"
#include "GroupInterest.h"
#include "GroupLeadership.h"
#include "PlannedRevocation.h"
#include "PrimaryReplacement.h"
#include "ProxyState.h"
#include "Rendezvous.h"
#include "SessionLookup.h"
#include "StoreReads.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>
#include <vector>

namespace Figward {

namespace {

/** Interval between checks for peers to which a heartbeat is due. The service's own review runs every 50 ms, so that heartbeats are late by at most that. */
constexpr Duration sendCheckInterval = std::chrono::milliseconds(50);
/**
 * Interval between log entries on new VMs. Up to maxLoggedVms are logged by a line each, more by a single line: otherwise a starting fleet would write as many
 * lines as it has pairs of VMs.
 */
constexpr Duration newVmsLogInterval = std::chrono::milliseconds(500);
constexpr std::size_t maxLoggedVms = 12;
/** Interval between choices of the delegates; a lost delegate is replaced after about this time. */
constexpr Duration delegatesInterval = std::chrono::milliseconds(500);
/** Number of groups kept of a peer beyond those that its last heartbeat names; with on-demand exchange a VM names ever new ones. */
constexpr std::size_t maxGroupsKept = 64;
/** A VM that is asked for an answer in vain for this long is no candidate for a delegate. */
constexpr Duration candidateAnswerTimeout = std::chrono::milliseconds(1500);
/** VMs that are not listed in the store and have been silent for longer are sent no heartbeats. */
constexpr Duration forgottenAfter = std::chrono::seconds(20);

/** Builds the part of the heartbeat that is the same for all receivers. */
VmHeartbeat makeHeartbeat(const SessionServiceState &sessions, Time now)
{
    VmHeartbeat heartbeat;
    heartbeat.name_ = sessions.identity_.vm_.name_;
    heartbeat.from_ = sessions.identity_.vm_.incarnation_;
    heartbeat.address_ = sessions.identity_.vm_.address_;
    heartbeat.zone_ = sessions.identity_.vm_.zone_;
    heartbeat.sent_ = now;
    heartbeat.configuration_ = sessions.configuration_ ? sessions.configuration_->version_ : ConfigVersion(0);
    if (sessions.schedule_.configurationCheck_.askedAt_) {
        heartbeat.configurationAge_ = now - *sessions.schedule_.configurationCheck_.askedAt_;
    }
    heartbeat.directoryFingerprint_ = sessions.directoryFingerprint_;
    if (sessions.schedule_.directoryCheck_.askedAt_) {
        heartbeat.directoryAge_ = now - *sessions.schedule_.directoryCheck_.askedAt_;
    }
    heartbeat.leaving_ = sessions.drainSince_.has_value();
    return heartbeat;
}

/** Whether heartbeats are still sent to \p peer. */
bool receivesHeartbeats(const PeerVm &peer, Time now)
{
    const bool expired = !peer.registered_ && (!peer.lastReceivedAt_ || now - *peer.lastReceivedAt_ > forgottenAfter);
    return !peer.vm_.address_.empty() && !expired;
}

/** Records what \p heartbeat states about groups. For a group that it does not name, the only information is that the sender does not lead it. */
void recordGroups(PeerVm &peer, const VmHeartbeat &heartbeat)
{
    for (auto &[id, beat] : peer.groups_) {
        beat.leads_ = false;
        beat.asksLeader_ = false;
        beat.primaryAnswerAge_.reset();
    }
    for (const GroupHeartbeat &beat : heartbeat.groups_) {
        peer.groups_[beat.group_] = beat;
    }
    peer.leads_ = std::ranges::any_of(heartbeat.groups_, &GroupHeartbeat::leads_);
    if (peer.groups_.size() > maxGroupsKept) {
        const auto isNamed = [&](const auto &entry) {
            return std::ranges::find(heartbeat.groups_, entry.first, &GroupHeartbeat::group_) != heartbeat.groups_.end();
        };
        std::erase_if(peer.groups_, [&](const auto &entry) { return !isNamed(entry); });
    }
}

/** Schedules a heartbeat to \p peer at the end of the current event. */
void scheduleHeartbeat(SessionServiceState &sessions, PeerVm &peer)
{
    if (!peer.sendNow_) {
        peer.sendNow_ = true;
        sessions.heartbeatRequesters_.push_back(peer.vm_.name_);
    }
}

/** Updates the peer entry of the sender, unless a later heartbeat has already been received. */
void recordPeer(ProxyState &state, const VmHeartbeat &heartbeat, Time now)
{
    PeerVm &peer = state.sessions_->peers_[heartbeat.name_];
    const bool unknown = peer.vm_.incarnation_ != heartbeat.from_;
    if (!unknown && heartbeat.sent_ < peer.remoteSendTime_) {
        return; // A later heartbeat has already been received.
    }
    if (unknown) {
        state.sessions_->newVms_.push_back(heartbeat.name_);
        peer.groups_.clear();
    }
    peer.clockOffset_ = unknown ? now - heartbeat.sent_ : std::min(peer.clockOffset_, now - heartbeat.sent_);
    peer.vm_ = EntryVm{heartbeat.name_, heartbeat.from_, heartbeat.address_, heartbeat.zone_};
    peer.lastReceivedAt_ = now;
    peer.unansweredSince_.reset();
    peer.remoteSendTime_ = heartbeat.sent_;
    peer.localSendTime_ = sendingTime(*state.sessions_, heartbeat, now);
    peer.configuration_ = heartbeat.configuration_;
    peer.leaving_ = heartbeat.leaving_;
    peer.sendInterval_ = heartbeat.interval_;
    const bool led = peer.leads_;
    recordGroups(peer, heartbeat);
    // A new leader can renew this VM's authority only once it has heard from it.
    if (unknown || heartbeat.replyAtOnce_ || (peer.leads_ && !led)) {
        scheduleHeartbeat(*state.sessions_, peer);
    }
}

/** Data shared by the heartbeats that are sent at the same time. */
struct HeartbeatRound
{
    VmHeartbeat heartbeat_;
    std::vector<GroupHeartbeat> groups_; ///< With on-demand exchange, only those for which this VM asks, and resigned ones; otherwise all.
    std::map<ServiceId, std::string> leaders_; ///< With on-demand exchange, the VM to ask for each group that this VM follows.
    bool leadsAny_ = false; ///< This VM leads at least one group.
    bool toClosePeers_ = false; ///< Send to all peers that use a short interval.
};

/**
 * Adds the groups that concern \p peer in a fleet that exchanges groups on demand: those about which it asked this VM, or of which it stated to be the leader,
 * and with \p asks, those for which this VM asks it.
 */
void addGroupsOnDemand(ProxyState &state, const PeerVm &peer, const HeartbeatRound &round, bool asks, VmHeartbeat &heartbeat, Time now)
{
    heartbeat.groups_.clear();
    for (const GroupHeartbeat &beat : round.groups_) {
        const auto leader = round.leaders_.find(beat.group_);
        const bool asksPeer = leader != round.leaders_.end() && leader->second == peer.vm_.name_;
        if (asksPeer || (beat.resigned_ != 0 && peer.close_)) {
            heartbeat.groups_.push_back(beat);
            heartbeat.groups_.back().asksLeader_ = asks && asksPeer;
        }
    }
    for (const auto &[id, beat] : peer.groups_) {
        const SessionGroup *group = findGroup(state, id);
        const bool isAdded = std::ranges::find(heartbeat.groups_, id, &GroupHeartbeat::group_) != heartbeat.groups_.end();
        if (group == nullptr || isAdded || !(beat.asksLeader_ || beat.leads_)) {
            continue;
        }
        heartbeat.groups_.push_back(describeGroup(state, *group, now));
        if (!heartbeat.groups_.back().leads_ && beat.asksLeader_) {
            heartbeat.groups_.back().leaderName_ = group->leaderName_.empty() && group->storedClaim_ ? group->storedClaim_->leaderName_ : group->leaderName_;
        }
    }
}

HeartbeatPace paceOf(const SessionServiceState &sessions, const PeerVm &peer, const HeartbeatRound &round)
{
    const auto vms = static_cast<unsigned>(sessions.peers_.size() + 1);
    const EntryVm &self = sessions.identity_.vm_;
    const bool sameZone = peer.vm_.zone_ == self.zone_;
    if (!sessions.onDemand_) {
        VmPair pair{self.incarnation_, peer.vm_.incarnation_, vms};
        pair.eitherLeads_ = round.leadsAny_ || peer.leads_;
        pair.eitherIsDelegate_ = sameZone && (isDelegate(sessions) || sessions.delegates_.contains(peer.vm_.name_));
        const Duration interval = heartbeatIntervalOf(pair);
        return {interval, interval == heartbeatInterval};
    }
    const bool selfRelays = sessions.relays_.contains(self.name_);
    const bool peerRelays = sessions.relays_.contains(peer.vm_.name_);
    // A VM that was not heard yet is known by the incarnation that the store lists.
    const VmId peerId = peer.lastReceivedAt_ ? peer.vm_.incarnation_ : peer.listed_;
    OnDemandPair pair{self.incarnation_, peerId, vms, sessions.zoneVms_, static_cast<unsigned>(sessions.delegates_.size())};
    pair.eitherIsRelay_ = sameZone && (selfRelays || peerRelays);
    pair.bothAreRelays_ = selfRelays && peerRelays;
    pair.bothAreDelegates_ = isDelegate(sessions) && sessions.delegates_.contains(peer.vm_.name_);
    return onDemandPaceOf(pair);
}

/** Spreads the first heartbeats to VMs that are not close over the interval: a fleet that starts would otherwise send as many at once as it has pairs. */
void spreadFirstSending(const SessionServiceState &sessions, PeerVm &peer, const HeartbeatPace &pace, Time now)
{
    if (sessions.onDemand_ && !peer.lastSentAt_ && !pace.close_) {
        const std::uint64_t phase = rendezvousWeight(GroupId(peer.vm_.name_), sessions.identity_.vm_.incarnation_);
        peer.lastSentAt_ = now - Duration(static_cast<std::int64_t>(phase % static_cast<std::uint64_t>(pace.interval_.count())));
    }
}

void sendIfDue(ProxyState &state, PeerVm &peer, HeartbeatRound &round, Time now, Effects &out)
{
    const SessionServiceState &sessions = *state.sessions_;
    const bool requested = peer.sendNow_ || peer.askNow_;
    const bool mayBeDue = requested || round.toClosePeers_ || now >= peer.nextSendAt_;
    if (!mayBeDue || !receivesHeartbeats(peer, now)) {
        return;
    }
    const HeartbeatPace pace = paceOf(sessions, peer, round);
    peer.close_ = pace.close_;
    spreadFirstSending(sessions, peer, pace, now);
    const bool due = !peer.lastSentAt_ || now - *peer.lastSentAt_ >= pace.interval_;
    if (!due && !requested && !(round.toClosePeers_ && pace.close_)) {
        peer.nextSendAt_ = sessions.onDemand_ ? *peer.lastSentAt_ + pace.interval_ : Time();
        return;
    }
    const bool asks = peer.askNow_;
    peer.lastSentAt_ = now;
    peer.nextSendAt_ = sessions.onDemand_ ? now + pace.interval_ : Time();
    peer.sendNow_ = false;
    peer.askNow_ = false;
    VmHeartbeat &heartbeat = round.heartbeat_;
    heartbeat.interval_ = pace.interval_;
    heartbeat.echo_ = peer.remoteSendTime_;
    heartbeat.echoOf_ = peer.vm_.incarnation_;
    heartbeat.replyAtOnce_ = sessions.onDemand_ && (asks || (due && !peer.lastReceivedAt_));
    if (heartbeat.replyAtOnce_ && !peer.unansweredSince_) {
        peer.unansweredSince_ = now;
    }
    if (sessions.onDemand_) {
        peer.lastAskedAt_ = asks ? now : peer.lastAskedAt_;
        addGroupsOnDemand(state, peer, round, asks, heartbeat, now);
    } else {
        addGroups(heartbeat, peer, round.groups_, isFullMesh(static_cast<unsigned>(sessions.peers_.size() + 1)));
    }
    out.emplace_back(SessionEffect(SendHeartbeat{peer.vm_.address_, heartbeat}));
}

/** Whether \p peer may be chosen as a delegate. Most VMs of a large fleet are heard only once in minutes, and new ones not at all; those count as listed. */
bool isCandidate(const SessionServiceState &sessions, const PeerVm &peer, Time now)
{
    if (peer.leaving_ || peer.vm_.name_.empty()) {
        return false;
    }
    if (!sessions.onDemand_) {
        return wasHeardRecently(peer, now);
    }
    const bool isSilent = peer.unansweredSince_ && now - *peer.unansweredSince_ > candidateAnswerTimeout;
    return !isSilent && (peer.lastReceivedAt_ ? wasHeardRecently(peer, now) : peer.registered_);
}

HeartbeatRound makeRound(ProxyState &state, bool toClosePeers, Time now)
{
    const SessionServiceState &sessions = *state.sessions_;
    HeartbeatRound round;
    forEachReviewedGroup(sessions, [&](const SessionGroup &group) {
        const bool isAsked = sessions.onDemand_ && !group.leader_ && isFollowed(sessions, group, now);
        if (isAsked) {
            round.leaders_.emplace(group.id_, leaderToAsk(state, group, now));
        }
        if (!sessions.onDemand_ || isAsked || group.resigned_ != 0) {
            round.groups_.push_back(describeGroup(state, group, now));
        }
    });
    round.leadsAny_ = std::ranges::any_of(round.groups_, &GroupHeartbeat::leads_);
    round.toClosePeers_ = toClosePeers;
    round.heartbeat_ = makeHeartbeat(sessions, now);
    return round;
}

} // namespace

Time sendingTime(const SessionServiceState &sessions, const VmHeartbeat &heartbeat, Time now)
{
    const auto peer = sessions.peers_.find(heartbeat.name_);
    const bool known = peer != sessions.peers_.end() && peer->second.vm_.incarnation_ == heartbeat.from_;
    return known ? heartbeat.sent_ + peer->second.clockOffset_ : now;
}

bool isDelegate(const SessionServiceState &sessions)
{
    return sessions.delegates_.contains(sessions.identity_.vm_.name_);
}

void reviewDelegates(SessionServiceState &sessions, Time now)
{
    if (now < sessions.delegatesReviewAt_) {
        return;
    }
    sessions.delegatesReviewAt_ = now + delegatesInterval;
    sessions.delegates_.clear();
    sessions.relays_.clear();
    const EntryVm &self = sessions.identity_.vm_;
    std::vector<DelegateCandidate> candidates{{self.name_, self.zone_}};
    std::set<ZoneId> zones{self.zone_};
    sessions.zoneVms_ = 1;
    for (auto &[name, peer] : sessions.peers_) {
        sessions.zoneVms_ += peer.vm_.zone_ == self.zone_ ? 1 : 0;
        peer.nextSendAt_ = Time(); // The roles of the pair may have changed.
        if (isCandidate(sessions, peer, now)) {
            candidates.push_back({name, peer.vm_.zone_});
            zones.insert(peer.vm_.zone_);
        }
    }
    const bool isSmallFleet = isFullMesh(static_cast<unsigned>(sessions.peers_.size() + 1));
    const unsigned leaders = leadersPerZone(sessions.groups_.size(), zones.size());
    sessions.onDemand_ = exchangesOnDemand(sessions.groups_.size(), isSmallFleet ? 0 : leaders * zones.size());
    if (isSmallFleet && !sessions.onDemand_) {
        return;
    }
    sessions.delegates_ = chooseDelegates(candidates, leaders);
    if (sessions.onDemand_) {
        sessions.relays_ = chooseRelays(candidates);
    }
}

void logNewVms(SessionServiceState &sessions, Time now, Effects &out)
{
    if (sessions.newVms_.empty() || now < sessions.newVmsLoggedAt_ + newVmsLogInterval) {
        return;
    }
    sessions.newVmsLoggedAt_ = now;
    const std::vector<std::string> names = std::exchange(sessions.newVms_, {});
    if (names.size() > maxLoggedVms) {
        out.emplace_back(
            WriteLog{LogNumber::VmsSeen, {{"count", absl::StrCat(names.size())}, {"first", names.front()}, {"known", absl::StrCat(sessions.peers_.size())}}});
        return;
    }
    for (const std::string &name : names) {
        const EntryVm &vm = sessions.peers_.at(name).vm_;
        out.emplace_back(WriteLog{LogNumber::VmSeen, {{"vm", name}, {"incarnation", absl::StrCat(vm.incarnation_.value())}, {"address", vm.address_}}});
    }
}

bool wasHeardRecently(const PeerVm &peer, Time now)
{
    return peer.lastReceivedAt_ && now - *peer.lastReceivedAt_ < peerSilenceTimeout + (peer.sendInterval_ - heartbeatInterval);
}

void onHeartbeatReceived(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out)
{
    const EntryVm &self = state.sessions_->identity_.vm_;
    if (heartbeat.name_ == self.name_) {
        return;
    }
    recordPeer(state, heartbeat, now);
    for (const GroupHeartbeat &beat : heartbeat.groups_) {
        applyGroupHeartbeat(state, heartbeat, beat, now);
    }
    if (heartbeat.directoryAge_) {
        onDirectoryReported(state, heartbeat, now, out);
    }
    onConfigurationReported(state, heartbeat, now, out);
}

void sendHeartbeats(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    const bool toShortIntervalPeers = std::exchange(sessions.heartbeatNow_, false);
    const std::vector<std::string> requesters = std::exchange(sessions.heartbeatRequesters_, {});
    const bool reviewAll = toShortIntervalPeers || now >= sessions.heartbeatsReviewAt_;
    if (!reviewAll && requesters.empty()) {
        return;
    }
    HeartbeatRound round = makeRound(state, toShortIntervalPeers, now);
    if (reviewAll) {
        sessions.heartbeatsReviewAt_ = now + sendCheckInterval;
        for (auto &[name, peer] : sessions.peers_) {
            sendIfDue(state, peer, round, now, out);
        }
        return;
    }
    for (const std::string &name : requesters) {
        const auto peer = sessions.peers_.find(name);
        if (peer != sessions.peers_.end()) {
            sendIfDue(state, peer->second, round, now, out);
        }
    }
}

} // namespace Figward
