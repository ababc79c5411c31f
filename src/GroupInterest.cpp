#include "GroupInterest.h"

#include "GroupLeadership.h"
#include "ProxyState.h"
#include "Rendezvous.h"
#include "SessionHeartbeats.h"
#include "SessionLookup.h"
#include "StoreReads.h"

#include <algorithm>
#include <xxhash.h>

namespace Figward {

namespace {

/** A group is followed for this long after its last statement: clients rarely pause longer between the statements of a transaction. */
constexpr Duration followDuration = std::chrono::milliseconds(600);
/** Interval between requests to a leader; several fit into the validity of an authority. */
constexpr Duration askInterval = std::chrono::milliseconds(250);
/** Replaces askInterval while statements wait for authority: the request or its answer may have been lost. */
constexpr Duration urgentAskInterval = std::chrono::milliseconds(100);
/** A VM that has not answered for this long is passed over as leader; in the meantime it is asked three times. */
constexpr Duration leaderAnswerTimeout = std::chrono::milliseconds(300);

/** Zone of the group's primary as far as it is known; otherwise that of the member that the directory lists as primary. */
ZoneId primaryZoneOf(const ProxyState &state, const SessionGroup &group)
{
    const auto &members = state.sessions_->members_;
    const MemberId known = group.storedClaim_ && group.storedClaim_->primary_ != MemberId() ? group.storedClaim_->primary_ : group.authority_.primary_;
    if (const auto primary = members.find(known); primary != members.end()) {
        return primary->second.entry_.zone_;
    }
    for (const MemberId &id : group.members_) {
        const auto member = members.find(id);
        if (member != members.end() && member->second.entry_.claimsPrimary_) {
            return member->second.entry_.zone_;
        }
    }
    return {};
}

bool isUnresponsive(const PeerVm &peer, Time now)
{
    return peer.leaving_ || peer.vm_.address_.empty() || (peer.unansweredSince_ && now - *peer.unansweredSince_ > leaderAnswerTimeout);
}

void ask(SessionServiceState &sessions, const std::string &name, Duration interval, Time now)
{
    const auto found = sessions.peers_.find(name);
    if (found == sessions.peers_.end() || found->second.askNow_ || now - found->second.lastAskedAt_ < interval) {
        return;
    }
    found->second.askNow_ = true;
    sessions.heartbeatRequesters_.push_back(name);
}

/** Whether authority runs out so soon that the leader is asked for more; most statements end within the rest. */
bool needsRenewal(const SessionGroup &group, Time now)
{
    return !holdsAuthority(group.authority_, now) || group.authority_.validUntil_ - now < authorityDuration / 2;
}

/** Asks the group's leader unless it was asked within the last \p interval. */
void askLeader(ProxyState &state, const SessionGroup &group, Duration interval, Time now)
{
    const std::string name = leaderToAsk(state, group, now);
    if (!name.empty()) {
        ask(*state.sessions_, name, interval, now);
    }
}

} // namespace

bool isFollowed(const SessionServiceState &sessions, const SessionGroup &group, Time now)
{
    return !sessions.onDemand_ || (group.usedAt_ != Time() && now - group.usedAt_ < followDuration);
}

void recordGroupUse(ProxyState &state, SessionGroup &group, Time now)
{
    SessionServiceState &sessions = *state.sessions_;
    const bool wasFollowed = isFollowed(sessions, group, now);
    group.usedAt_ = now;
    if (wasFollowed || !sessions.onDemand_) {
        return;
    }
    sessions.trackedGroups_.insert(group.id_);
    group.followedSince_ = now;
    group.primaryLostAt_.reset();
    if (!holdsAuthority(group.authority_, now)) {
        group.authorityLostAt_ = now;
    }
    // Authority left over from an earlier use is renewed, too: it could run out before the statement is answered.
    if (needsRenewal(group, now)) {
        askLeader(state, group, Duration(0), now);
    }
}

std::string leaderToAsk(const ProxyState &state, const SessionGroup &group, Time now)
{
    const SessionServiceState &sessions = *state.sessions_;
    const auto named = sessions.peers_.find(group.leaderName_);
    if (named != sessions.peers_.end() && !isUnresponsive(named->second, now)) {
        return group.leaderName_;
    }
    std::string best;
    std::optional<LeaderRank> bestRank;
    if (sessions.delegates_.contains(sessions.identity_.vm_.name_)) {
        bestRank = leaderRankOf(state, group, sessions.identity_.vm_);
    }
    for (const auto &[name, role] : sessions.delegates_) {
        const auto peer = sessions.peers_.find(name);
        if (peer == sessions.peers_.end() || isUnresponsive(peer->second, now)) {
            continue;
        }
        const LeaderRank rank = leaderRankOf(state, group, peer->second.vm_);
        if (!bestRank || *bestRank < rank) {
            best = name;
            bestRank = rank;
        }
    }
    return best;
}

void askLeaders(ProxyState &state, Time now)
{
    SessionServiceState &sessions = *state.sessions_;
    if (!sessions.onDemand_) {
        return;
    }
    forEachReviewedGroup(sessions, [&](const SessionGroup &group) {
        if (!group.leader_ && isFollowed(sessions, group, now) && needsRenewal(group, now)) {
            askLeader(state, group, holdsAuthority(group.authority_, now) ? askInterval : urgentAskInterval, now);
        }
    });
}

void recordLeaderName(ProxyState &state, SessionGroup &group, const GroupHeartbeat &beat, const std::string &sender, Time now)
{
    const std::string &named = beat.leads_ ? sender : beat.leaderName_;
    if (named == group.leaderName_ || (named.empty() && group.leaderName_ != sender)) {
        return;
    }
    group.leaderName_ = named;
    const bool waits = state.sessions_->onDemand_ && isFollowed(*state.sessions_, group, now) && !holdsAuthority(group.authority_, now);
    if (beat.leads_ || named.empty() || !waits) {
        return;
    }
    if (const auto peer = state.sessions_->peers_.find(named); peer != state.sessions_->peers_.end()) {
        peer->second.unansweredSince_.reset(); // Another VM takes it for the leader, so it is worth asking again.
    }
    askLeader(state, group, urgentAskInterval / 2, now);
}

bool isLedElsewhere(const SessionServiceState &sessions, const SessionGroup &group, Time now)
{
    if (group.lastLeaderHeartbeat_ != Time() && now - group.lastLeaderHeartbeat_ < leaderSilenceTimeout) {
        return true;
    }
    if (!group.storedClaim_ || group.storedClaim_->leaderName_.empty() || group.storedClaim_->generation_ <= group.resigned_) {
        return false;
    }
    const auto peer = sessions.peers_.find(group.storedClaim_->leaderName_);
    return peer != sessions.peers_.end() && wasHeardRecently(peer->second, now) && peer->second.vm_.incarnation_ == group.storedClaim_->leader_;
}

void reviewTrackedGroups(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (!sessions.onDemand_) {
        return;
    }
    const bool mayLead = isDelegate(sessions) && sessions.schedule_.registered_ && !sessions.drainSince_;
    bool isAnyUnled = false;
    sessions.trackedGroups_.clear();
    for (auto &[id, group] : sessions.groups_) {
        const bool isUnled = mayLead && !group.leader_ && !group.members_.empty() && !isLedElsewhere(sessions, group, now);
        isAnyUnled = isAnyUnled || isUnled;
        if (group.leader_ || countWaiting(group.waiting_) > 0 || isFollowed(sessions, group, now)) {
            sessions.trackedGroups_.insert(id);
        } else if (isUnled) {
            reviewLeadership(state, group, now, out);
        }
    }
    if (isAnyUnled) {
        requestClaims(state, now, out);
    }
}

LeaderRank leaderRankOf(const ProxyState &state, const SessionGroup &group, const EntryVm &vm)
{
    const SessionServiceState &sessions = *state.sessions_;
    const auto delegate = sessions.delegates_.find(vm.name_);
    LeaderRank rank;
    rank.otherZone_ = vm.zone_ != primaryZoneOf(state, group);
    rank.role_ = delegate == sessions.delegates_.end() ? std::nullopt : std::optional(delegate->second);
    // A VM that was not heard yet is known by name only; by the name, it also has its rank again after a restart.
    const VmId id = sessions.onDemand_ ? VmId(XXH3_64bits(vm.name_.data(), vm.name_.size())) : vm.incarnation_;
    rank.weight_ = rendezvousWeight(GroupId(group.id_.value()), id);
    return rank;
}

} // namespace Figward
