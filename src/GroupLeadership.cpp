#include "GroupLeadership.h"

#include "CutOff.h"
#include "GroupInterest.h"
#include "PlannedRevocation.h"
#include "PrimaryReplacement.h"
#include "ProxyState.h"
#include "Rendezvous.h"
#include "SessionHeartbeats.h"
#include "SessionLookup.h"
#include "StoreReads.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <tuple>

namespace Figward {

namespace {

/** Period for which a leader relies on its claim, counted from the request of the last successful renewal. Most outages of the store are shorter. */
constexpr Duration claimDuration = std::chrono::milliseconds(8000);
/** Additional time that other VMs wait before they take over a claim: the clocks of VMs may run at slightly different rates. */
constexpr Duration claimMargin = std::chrono::milliseconds(400);
/** Interval between renewals: a quarter of claimDuration, so that a few renewals may fail. */
constexpr Duration renewInterval = std::chrono::milliseconds(2000);
/** Delay before a failed claim write is retried. */
constexpr Duration writeRetryDelay = std::chrono::milliseconds(200);
/** VMs attempt to claim a group one after the other, this far apart, so that a VM usually finds the claim already taken by the one ranked before it. */
constexpr Duration claimStep = std::chrono::milliseconds(120);
/** Replaces claimStep where groups are exchanged on demand: others learn of a claim by reading the claims again. */
constexpr Duration onDemandClaimStep = std::chrono::milliseconds(2000);
/** A leader whose store calls have failed for this long resigns if other VMs receive answers. A shorter period would react to the failure of a single call. */
constexpr Duration storeFailureTimeout = std::chrono::milliseconds(600);
/**
 * An answer that another VM received counts only if its request was made this long after the store became unreachable here: ages are passed on in heartbeats
 * and grow slightly on the way.
 */
constexpr Duration answerAgeMargin = std::chrono::milliseconds(150);
/**
 * In a large fleet, a VM that has just started waits this long before it makes the first claim on a group, so that it has received heartbeats from most other
 * VMs. Otherwise the VMs that start first would lead, whether or not they are delegates.
 */
constexpr Duration firstClaimDelay = std::chrono::milliseconds(1200);
/** Time after the start by which a group that never had a leader has one. */
constexpr Duration firstLeaderTimeout = std::chrono::seconds(4);
/** Silence after which a VM that uses a group and asks its leader reads the claim from the store. */
constexpr Duration askedLeaderSilence = std::chrono::milliseconds(300);
/**
 * A VM that is not a delegate reads the claims from the store only when its authority expires within this time: by then the delegates of its zone, or a new
 * leader, have usually renewed it.
 */
constexpr Duration remainingAuthorityToRead = std::chrono::milliseconds(250);

/**
 * Rank of this VM in the order in which VMs claim the group. VMs in the primary's zone rank last, so that the isolation of one zone does not take out both the
 * primary and the leader; within each part, delegates rank first.
 */
unsigned claimRank(ProxyState &state, const SessionGroup &group, Time now)
{
    const SessionServiceState &sessions = *state.sessions_;
    const LeaderRank mine = leaderRankOf(state, group, sessions.identity_.vm_);
    unsigned before = 0;
    if (sessions.onDemand_) {
        for (const auto &[name, role] : sessions.delegates_) {
            const auto peer = sessions.peers_.find(name);
            before += peer != sessions.peers_.end() && mine < leaderRankOf(state, group, peer->second.vm_) ? 1 : 0;
        }
        return before;
    }
    for (const auto &[name, peer] : sessions.peers_) {
        if (wasHeardRecently(peer, now) && !peer.leaving_ && mine < leaderRankOf(state, group, peer.vm_)) {
            ++before;
        }
    }
    return before;
}

/** Whether the claim last read from the store has certainly ended. */
bool hasEnded(const ProxyState &state, const SessionGroup &group, Time now)
{
    const LeaderClaim &seen = *group.storedClaim_;
    const EntryVm &self = state.sessions_->identity_.vm_;
    if (seen.leaderName_.empty()) {
        return true;
    }
    if (seen.leaderName_ == self.name_) {
        return true; // Made by the previous process on this VM, or by this one in a write whose answer was lost.
    }
    if (seen.generation_ <= group.resigned_) {
        return true;
    }
    // The store shows the renewal that the leader's last heartbeat stated, so the expiry in that heartbeat applies. If the claim is renewed after all, the
    // store rejects the write that would replace it.
    const bool unchangedSinceHeartbeat = seen.generation_ == group.leaderGeneration_ && seen.renewals_ == group.leaderRenewals_;
    return now - group.storedClaimChangedAt_ > claimDuration + claimMargin || (unchangedSinceHeartbeat && now > group.claimEnds_ + claimMargin);
}

/** Builds the claim with which this VM would take over the group. */
LeaderClaim nextClaim(const ProxyState &state, const SessionGroup &group)
{
    LeaderClaim claim = group.storedClaim_.value_or(LeaderClaim{.group_ = group.id_});
    claim.leaderName_ = state.sessions_->identity_.vm_.name_;
    claim.leader_ = state.sessions_->identity_.vm_.incarnation_;
    ++claim.generation_;
    claim.renewals_ = 0;
    if (claim.phase_ == ClaimPhase::Replacing || claim.epoch_ < group.authority_.epoch_) {
        // The previous leader may have let VMs use a primary that was never recorded in the store; that authority must end first.
        claim.epoch_ = std::max(claim.epoch_, group.authority_.epoch_) + 1;
        claim.phase_ = ClaimPhase::Replacing;
    }
    return claim;
}

void considerClaim(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    const bool mayClaim = state.sessions_->schedule_.registered_ && state.sessions_->schedule_.reachable_ && !state.sessions_->drainSince_
                          && !isZoneCutOff(*state.sessions_) && !group.members_.empty() && !group.claimWrite_;
    const bool claimWasRead = group.storedClaim_.has_value();
    const bool heardDirectly = now - group.lastLeaderHeartbeat_ < leaderSilenceTimeout && group.lastLeaderHeartbeat_ != Time();
    const bool onDemand = state.sessions_->onDemand_;
    const bool leaderHeard = onDemand ? !isDelegate(*state.sessions_) || isLedElsewhere(*state.sessions_, group, now) : heardDirectly;
    if (!mayClaim || !claimWasRead || leaderHeard) {
        group.claimAfter_ = Time();
        return;
    }
    if (group.storedClaim_->revision_ != 0 && !hasEnded(state, group, now)) {
        return;
    }
    const bool isFirst = group.storedClaim_->revision_ == 0;
    const bool isLargeFleet = !isFullMesh(static_cast<unsigned>(state.sessions_->peers_.size() + 1));
    if (isFirst && isLargeFleet && now - state.sessions_->startedAt_ < firstClaimDelay) {
        return;
    }
    if (group.claimAfter_ == Time()) {
        group.claimAfter_ = now + (onDemand ? onDemandClaimStep : claimStep) * claimRank(state, group, now);
    }
    if (now >= group.claimAfter_) {
        group.claimAfter_ = Time();
        group.claimWrite_ = callStore(state, WriteClaim{nextClaim(state, group)}, now, out);
    }
}

void startLeading(SessionServiceState &sessions, SessionGroup &group, const LeaderClaim &claim, Time sentAt, Time now, Effects &out)
{
    sessions.trackedGroups_.insert(group.id_);
    group.leaderName_ = claim.leaderName_;
    LeaderState leader;
    leader.claim_ = claim;
    leader.validUntil_ = sentAt + claimDuration;
    leader.renewAt_ = now + renewInterval;
    leader.leadSince_ = now;
    group.leader_ = leader;
    out.emplace_back(WriteLog{LogNumber::LeaderClaimed,
                              {{"group", group.id_.value()},
                               {"generation", absl::StrCat(claim.generation_)},
                               {"epoch", absl::StrCat(claim.epoch_)},
                               {"primary", claim.primary_.value()},
                               {"phase", claim.phase_ == ClaimPhase::Steady ? "steady" : "replacing"}}});
    if (claim.phase_ == ClaimPhase::Replacing) {
        resumeReplacement(group, now);
    }
}

void stopLeading(SessionGroup &group, std::string_view reason, Effects &out)
{
    if (!group.leader_) {
        return;
    }
    out.emplace_back(
        WriteLog{LogNumber::LeaderLost,
                 {{"group", group.id_.value()}, {"generation", absl::StrCat(group.leader_->claim_.generation_)}, {"reason", std::string(reason)}}});
    group.leader_.reset();
    group.storedClaim_.reset();
}

/**
 * Whether the store is unreachable for this VM while it answers others. Such a leader cannot record a replacement, and no other VM can lead before its claim
 * expires, so that a primary lost meanwhile would be replaced only after 8 s. The only proof is an answer that another VM received to a later request: in an
 * outage that affects all VMs, leaders must continue, since all authority depends on them.
 */
bool isStoreUnreachableOnlyHere(const SessionServiceState &sessions, Time now)
{
    const StoreSchedule &schedule = sessions.schedule_;
    if (schedule.reachable_ || now - schedule.unreachableSince_ < storeFailureTimeout) {
        return false;
    }
    const auto answeredSince = [&](const SharedCheck &check) { return check.askedAt_ && *check.askedAt_ > schedule.unreachableSince_ + answerAgeMargin; };
    return answeredSince(schedule.configurationCheck_) || answeredSince(schedule.directoryCheck_);
}

/** Resigns the claim at once by announcing it in heartbeats, without the store. A claim write that is still in flight may succeed, which has no effect. */
void resign(ProxyState &state, SessionGroup &group, Effects &out)
{
    group.resigned_ = std::max(group.resigned_, group.leader_->claim_.generation_);
    state.sessions_->heartbeatNow_ = true;
    stopLeading(group, "the store turns this VM away and answers others", out);
}

void renew(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    const bool due = leader.writeWanted_ || now >= leader.renewAt_;
    if (leader.write_ || !due || now < leader.writeAfter_) {
        return;
    }
    leader.writeWanted_ = false;
    leader.renewAt_ = now + renewInterval;
    ++leader.claim_.renewals_;
    leader.write_ = callStore(state, WriteClaim{leader.claim_}, now, out);
}

/** Whether \p claim was written by this process. */
bool isMine(const ProxyState &state, const LeaderClaim &claim)
{
    return claim.leader_ == state.sessions_->identity_.vm_.incarnation_ && claim.leaderName_ == state.sessions_->identity_.vm_.name_;
}

void recordStoredClaim(const ProxyState &state, SessionGroup &group, const LeaderClaim &claim, Time askedAt, Time now)
{
    const bool changed = !group.storedClaim_ || group.storedClaim_->revision_ != claim.revision_;
    if (changed) {
        group.storedClaim_ = claim;
        group.storedClaimChangedAt_ = now;
        group.leaderName_ = claim.leaderName_;
    }
    if (claim.phase_ == ClaimPhase::Replacing) {
        revokeAuthority(group.authority_, claim.epoch_);
    } else if (state.sessions_->schedule_.registered_) {
        // Only VMs listed in the store take over what it states: a leader that revokes a primary waits for the VMs listed at that time and could not know of
        // others.
        renewAuthority(group.authority_, claim.epoch_, claim.primary_, claim.term_, askedAt);
    }
}

/** Processes the result of a write of the leader's claim. */
void onLeaderWrite(ProxyState &state, SessionGroup &group, const WriteClaim &write, const StoreAnswered &answer, Time sentAt, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    leader.write_.reset();
    const auto *claims = std::get_if<std::vector<LeaderClaim>>(&answer.content_);
    const LeaderClaim *storedClaim = claims != nullptr && !claims->empty() ? &claims->front() : nullptr;
    const bool done = answer.result_ == StoreResult::Done && storedClaim != nullptr;
    const bool ownEarlierWrite = answer.result_ == StoreResult::Conflict && storedClaim != nullptr && isMine(state, *storedClaim);
    if (done || ownEarlierWrite) {
        leader.claim_.revision_ = storedClaim->revision_;
    }
    if (done) {
        leader.validUntil_ = std::max(leader.validUntil_, sentAt + claimDuration);
        leader.confirmedRenewals_ = std::max(leader.confirmedRenewals_, write.claim_.renewals_);
        const bool revoked = write.claim_.phase_ == ClaimPhase::Replacing && write.claim_.epoch_ == leader.claim_.epoch_;
        if (revoked && !leader.revokeStored_) {
            leader.revokeStored_ = now;
            requestVmList(state, now, out);
        }
    } else if (answer.result_ == StoreResult::Conflict && !ownEarlierWrite) {
        stopLeading(group, "another VM has the claim", out);
    } else if (answer.result_ == StoreResult::NotFound) {
        leader.claim_.revision_ = 0;
        leader.writeWanted_ = true;
    } else {
        // The write was rejected or not answered, or an earlier write that was assumed lost has succeeded: write the current claim.
        leader.writeWanted_ = true;
        leader.writeAfter_ = ownEarlierWrite ? now : now + writeRetryDelay;
    }
}

/**
 * Whether this VM reads the claims and primaries from the store because the leader is silent. In a large fleet the delegates do this for their zones: if each
 * VM did it, every one of them would make three store calls a second until the claim of a lost leader expires 8 s later.
 */
bool shouldReadClaims(const SessionServiceState &sessions, const SessionGroup &group, Time now)
{
    if (sessions.onDemand_) {
        return false; // Delegates read the claims of groups that have no leader; see reviewTrackedGroups().
    }
    const bool silent = group.lastLeaderHeartbeat_ == Time() || now - group.lastLeaderHeartbeat_ > leaderSilenceTimeout;
    if (!silent) {
        return false;
    }
    const Duration left = group.authority_.validUntil_ - now;
    const bool delegatesRead = !sessions.delegates_.empty() && !isDelegate(sessions) && sessions.schedule_.claimsRead_;
    if (!delegatesRead) {
        return left < authorityDuration / 2 || !group.storedClaim_;
    }
    const bool neverLed = group.storedClaim_ && group.storedClaim_->revision_ == 0;
    return left < remainingAuthorityToRead && !(neverLed && now - sessions.startedAt_ < firstLeaderTimeout);
}

/**
 * Whether this VM reads the group's claim because clients use the group and its leader does not answer. The claim names the leader, and gives authority while
 * the leader is lost. Elsewhere in the fleet, nobody needs it.
 */
bool shouldReadOwnClaim(const SessionServiceState &sessions, const SessionGroup &group, Time now)
{
    const Time since = std::max(group.lastLeaderHeartbeat_, group.followedSince_);
    const bool isSilent = isFollowed(sessions, group, now) && now - since > askedLeaderSilence;
    return sessions.onDemand_ && isSilent && group.authority_.validUntil_ - now < remainingAuthorityToRead;
}

} // namespace

void requestClaimWrite(LeaderState &leader)
{
    leader.writeWanted_ = true;
}

void reviewLeadership(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    if (group.leader_ && now >= group.leader_->validUntil_) {
        stopLeading(group, "the claim could not be renewed in time", out);
        requestClaims(state, now, out);
    }
    if (!group.leader_) {
        if (shouldReadClaims(*state.sessions_, group, now)) {
            requestClaims(state, now, out);
        }
        if (shouldReadOwnClaim(*state.sessions_, group, now)) {
            requestClaim(state, group, now, out);
        }
        considerClaim(state, group, now, out);
        return;
    }
    if (isZoneCutOff(*state.sessions_) && state.sessions_->schedule_.reachable_) {
        // The larger part of the VMs is on the other side of the network split and may have to replace the primary there.
        releaseLeadership(state, group, "the zone is cut off", now, out);
        return;
    }
    if (isStoreUnreachableOnlyHere(*state.sessions_, now)) {
        resign(state, group, out);
        return;
    }
    LeaderState &leader = *group.leader_;
    if (leader.claim_.phase_ == ClaimPhase::Steady) {
        // The leader's own authority derives from its claim and must not outlast it.
        renewAuthority(
            group.authority_, leader.claim_.epoch_, leader.claim_.primary_, leader.claim_.term_, std::min(now, leader.validUntil_ - authorityDuration));
    } else {
        revokePrimary(state, group, leader.claim_.epoch_, now);
    }
    reviewReplacement(state, group, now, out);
    renew(state, group, now, out);
}

void onClaimRead(ProxyState &state, const ServiceId &id, const std::vector<LeaderClaim> &claims, Time askedAt, Time now)
{
    SessionGroup *group = findGroup(state, id);
    if (group == nullptr || group->leader_) {
        return;
    }
    if (claims.empty()) {
        group->storedClaim_ = LeaderClaim{.group_ = id};
    } else {
        recordStoredClaim(state, *group, claims.front(), askedAt, now);
    }
}

void onClaimsRead(ProxyState &state, const std::vector<LeaderClaim> &claims, Time askedAt, Time now, Effects & /*out*/)
{
    state.sessions_->schedule_.claimsRead_ = state.sessions_->schedule_.claimsRead_ || state.sessions_->schedule_.registered_;
    // A delegate passes what it reads about groups with silent leaders on to its zone at once.
    state.sessions_->heartbeatNow_ = state.sessions_->heartbeatNow_ || isDelegate(*state.sessions_);
    std::map<ServiceId, const LeaderClaim *> byGroup;
    for (const LeaderClaim &claim : claims) {
        byGroup.emplace(claim.group_, &claim);
    }
    for (auto &[id, group] : state.sessions_->groups_) {
        if (group.leader_) {
            continue;
        }
        const auto found = byGroup.find(id);
        if (found == byGroup.end()) {
            group.storedClaim_ = LeaderClaim{.group_ = id};
        } else {
            recordStoredClaim(state, group, *found->second, askedAt, now);
        }
    }
}

void onClaimWritten(ProxyState &state, const WriteClaim &write, const StoreAnswered &answer, Time sentAt, Time now, Effects &out)
{
    SessionGroup *group = findGroup(state, write.claim_.group_);
    if (group == nullptr) {
        return;
    }
    if (group->leader_ && group->leader_->write_ == answer.id_) {
        onLeaderWrite(state, *group, write, answer, sentAt, now, out);
        return;
    }
    if (group->claimWrite_ != answer.id_) {
        return;
    }
    group->claimWrite_.reset();
    const auto *claims = std::get_if<std::vector<LeaderClaim>>(&answer.content_);
    const LeaderClaim *storedClaim = claims != nullptr && !claims->empty() ? &claims->front() : nullptr;
    const bool mine = storedClaim != nullptr && isMine(state, *storedClaim) && storedClaim->generation_ == write.claim_.generation_;
    if (mine && (answer.result_ == StoreResult::Done || answer.result_ == StoreResult::Conflict)) {
        startLeading(*state.sessions_, *group, *storedClaim, sentAt, now, out);
        return;
    }
    if (storedClaim != nullptr) {
        recordStoredClaim(state, *group, *storedClaim, sentAt, now);
    } else {
        group->storedClaim_.reset();
    }
}

void releaseLeadership(ProxyState &state, SessionGroup &group, std::string_view reason, Time now, Effects &out)
{
    if (!group.leader_ || group.leader_->claim_.phase_ == ClaimPhase::Replacing || group.leader_->write_) {
        return;
    }
    LeaderClaim claim = group.leader_->claim_;
    claim.leaderName_.clear();
    claim.leader_ = VmId(0);
    callStore(state, WriteClaim{claim}, now, out);
    stopLeading(group, reason, out);
}

} // namespace Figward
