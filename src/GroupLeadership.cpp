#include "GroupLeadership.h"

#include "CutOff.h"
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

/** A leader relies on its claim for this long after it asked for the last renewal that worked. Outages of the store are mostly shorter. */
constexpr Duration claimTime = std::chrono::milliseconds(8000);
/** Others wait this much longer before they take it: clocks of VMs run a little apart. */
constexpr Duration claimMargin = std::chrono::milliseconds(400);
/** A fourth of claimTime: a few renewals may fail. */
constexpr Duration renewInterval = std::chrono::milliseconds(2000);
/** Pause after a write of a claim that failed. */
constexpr Duration writePause = std::chrono::milliseconds(200);
/** VMs try to claim in an order, this much apart, so that one mostly finds the claim taken by the one before. */
constexpr Duration claimStep = std::chrono::milliseconds(120);
/** A leader whose calls to the store failed for this long resigns if others have answers: one call may fail by itself. */
constexpr Duration turnedAwayAfter = std::chrono::milliseconds(600);
/** An answer to a question asked by another VM counts if that was asked so much later: ages travel by heartbeat, and grow a little on the way. */
constexpr Duration turnedAwayMargin = std::chrono::milliseconds(150);
/** Where VMs are many, one that starts hears most of the others before it makes the first claim on a group: else those that start first lead, whoever they are. */
constexpr Duration firstClaimAfter = std::chrono::milliseconds(1200);
/** A group that nobody has led yet has its first leader by then. */
constexpr Duration firstLeaderBy = std::chrono::seconds(4);
/** A VM that is no delegate asks the store only when its authority has so little left: by then its zone's delegates, or a new leader, have renewed it as a rule. */
constexpr Duration lastAuthority = std::chrono::milliseconds(250);

/** Place of this VM in the order in which VMs claim the group: those in the primary's zone come last, so that a cut zone loses only one of the two, delegates first. */
unsigned claimRank(ProxyState &state, const SessionGroup &group, Time now)
{
    const SessionServiceState &sessions = *state.sessions_;
    const MemberId primary = group.seenClaim_ ? group.seenClaim_->primary_ : MemberId();
    const MemberState *primaryMember = findMember(state, primary);
    const ZoneId zone = primaryMember != nullptr ? primaryMember->entry_.zone_ : ZoneId();
    const GroupId key(group.id_.value());
    const auto order = [&](const EntryVm &vm) {
        const auto delegate = sessions.delegates_.find(vm.name_);
        const auto role = delegate == sessions.delegates_.end() ? std::nullopt : std::optional(delegate->second);
        return std::tuple(vm.zone_ != zone, role, rendezvousWeight(key, vm.incarnation_));
    };
    const auto mine = order(sessions.identity_.vm_);
    unsigned before = 0;
    for (const auto &[name, peer] : sessions.peers_) {
        if (isFresh(peer, now) && !peer.leaving_ && order(peer.vm_) > mine) {
            ++before;
        }
    }
    return before;
}

/** Whether the claim seen in the store is over for certain. */
bool isOver(const ProxyState &state, const SessionGroup &group, Time now)
{
    const LeaderClaim &seen = *group.seenClaim_;
    const EntryVm &self = state.sessions_->identity_.vm_;
    if (seen.leaderName_.empty()) {
        return true;
    }
    if (seen.leaderName_ == self.name_) {
        return true; // The process that this one follows on the same VM, or a claim of its own whose answer was lost.
    }
    if (seen.generation_ <= group.resigned_) {
        return true;
    }
    // Not renewed since the leader last spoke of it: its own word says when it ends. Should it be renewed yet, the store refuses to replace it.
    const bool asLastSaid = seen.generation_ == group.leaderGeneration_ && seen.renewals_ == group.leaderRenewals_;
    return now - group.seenClaimChanged_ > claimTime + claimMargin || (asLastSaid && now > group.claimEnds_ + claimMargin);
}

/** The claim that this VM would make. */
LeaderClaim nextClaim(const ProxyState &state, const SessionGroup &group)
{
    LeaderClaim claim = group.seenClaim_.value_or(LeaderClaim{.group_ = group.id_});
    claim.leaderName_ = state.sessions_->identity_.vm_.name_;
    claim.leader_ = state.sessions_->identity_.vm_.incarnation_;
    ++claim.generation_;
    claim.renewals_ = 0;
    if (claim.phase_ == ClaimPhase::Replacing || claim.epoch_ < group.authority_.epoch_) {
        // The one before may have let VMs use a primary that the store was not told of: that must end first.
        claim.epoch_ = std::max(claim.epoch_, group.authority_.epoch_) + 1;
        claim.phase_ = ClaimPhase::Replacing;
    }
    return claim;
}

void considerClaim(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    const bool canClaim = state.sessions_->schedule_.registered_ && state.sessions_->schedule_.reachable_ && !state.sessions_->drainSince_
                          && !isZoneCutOff(*state.sessions_) && !group.members_.empty() && !group.claimWrite_;
    const bool known = group.seenClaim_.has_value();
    const bool leaderSpeaks = now - group.leaderHeard_ < leaderSilence && group.leaderHeard_ != Time();
    if (!canClaim || !known || leaderSpeaks) {
        group.claimAfter_ = Time();
        return;
    }
    if (group.seenClaim_->revision_ != 0 && !isOver(state, group, now)) {
        return;
    }
    const bool isFirst = group.seenClaim_->revision_ == 0;
    const bool isOneOfMany = !areAllClose(static_cast<unsigned>(state.sessions_->peers_.size() + 1));
    if (isFirst && isOneOfMany && now - state.sessions_->startedAt_ < firstClaimAfter) {
        return;
    }
    if (group.claimAfter_ == Time()) {
        group.claimAfter_ = now + claimStep * claimRank(state, group, now);
    }
    if (now >= group.claimAfter_) {
        group.claimAfter_ = Time();
        group.claimWrite_ = callStore(state, WriteClaim{nextClaim(state, group)}, now, out);
    }
}

void startLeading(SessionGroup &group, const LeaderClaim &claim, Time sentAt, Time now, Effects &out)
{
    LeaderState leader;
    leader.claim_ = claim;
    leader.validUntil_ = sentAt + claimTime;
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
    group.seenClaim_.reset();
}

/**
 * Whether the store turns this VM away while it answers others. This leader could not record a replacement, and nobody else may lead before its claim
 * ends: a primary that was lost meanwhile was replaced after 8 s. Only an answer that another VM got to a later question shows that: in an outage
 * for all, leaders go on, and with them all authority.
 */
bool isTurnedAway(const SessionServiceState &sessions, Time now)
{
    const StoreSchedule &schedule = sessions.schedule_;
    if (schedule.reachable_ || now - schedule.unreachableSince_ < turnedAwayAfter) {
        return false;
    }
    const auto answeredSince = [&](const SharedCheck &check) { return check.askedAt_ && *check.askedAt_ > schedule.unreachableSince_ + turnedAwayMargin; };
    return answeredSince(schedule.configurationCheck_) || answeredSince(schedule.directoryCheck_);
}

/** Gives up the claim by the VMs' word alone, at once; a write of it that is under way may still be done, and changes nothing. */
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

void noteSeen(const ProxyState &state, SessionGroup &group, const LeaderClaim &claim, Time askedAt, Time now)
{
    const bool changed = !group.seenClaim_ || group.seenClaim_->revision_ != claim.revision_;
    if (changed) {
        group.seenClaim_ = claim;
        group.seenClaimChanged_ = now;
    }
    if (claim.phase_ == ClaimPhase::Replacing) {
        revokeAuthority(group.authority_, claim.epoch_);
    } else if (state.sessions_->schedule_.registered_) {
        // Only for VMs that the store lists: a leader that revokes waits for the VMs that are listed then, and could not know of others.
        renewAuthority(group.authority_, claim.epoch_, claim.primary_, claim.term_, askedAt);
    }
}

/** A write of the leader's claim ended. */
void onLeaderWrite(ProxyState &state, SessionGroup &group, const WriteClaim &write, const StoreAnswered &answer, Time sentAt, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    leader.write_.reset();
    const auto *claims = std::get_if<std::vector<LeaderClaim>>(&answer.content_);
    const LeaderClaim *stands = claims != nullptr && !claims->empty() ? &claims->front() : nullptr;
    const bool done = answer.result_ == StoreResult::Done && stands != nullptr;
    const bool ownEarlier = answer.result_ == StoreResult::Conflict && stands != nullptr && isMine(state, *stands);
    if (done || ownEarlier) {
        leader.claim_.revision_ = stands->revision_;
    }
    if (done) {
        leader.validUntil_ = std::max(leader.validUntil_, sentAt + claimTime);
        leader.confirmedRenewals_ = std::max(leader.confirmedRenewals_, write.claim_.renewals_);
        const bool revoked = write.claim_.phase_ == ClaimPhase::Replacing && write.claim_.epoch_ == leader.claim_.epoch_;
        if (revoked && !leader.revokeStored_) {
            leader.revokeStored_ = now;
            wantVms(state, now, out);
        }
    } else if (answer.result_ == StoreResult::Conflict && !ownEarlier) {
        stopLeading(group, "another VM has the claim", out);
    } else if (answer.result_ == StoreResult::NotFound) {
        leader.claim_.revision_ = 0;
        leader.writeWanted_ = true;
    } else {
        // Refused, unanswered, or an earlier write that was taken for lost has come through: write what holds now.
        leader.writeWanted_ = true;
        leader.writeAfter_ = ownEarlier ? now : now + writePause;
    }
}

/**
 * Whether this VM asks the store who leads, and what its primary is, since the leader is silent. Where VMs are many, delegates ask for their zones: when each asked by itself,
 * the store had three calls a second of every VM until the claim of a lost leader was over, 8 s later.
 */
bool asksForClaims(const SessionServiceState &sessions, const SessionGroup &group, Time now)
{
    const bool silent = group.leaderHeard_ == Time() || now - group.leaderHeard_ > leaderSilence;
    if (!silent) {
        return false;
    }
    const Duration left = group.authority_.validUntil_ - now;
    const bool leavesToDelegates = !sessions.delegates_.empty() && !isDelegate(sessions) && sessions.schedule_.claimsRead_;
    if (!leavesToDelegates) {
        return left < authorityTime / 2 || !group.seenClaim_;
    }
    const bool nobodyLed = group.seenClaim_ && group.seenClaim_->revision_ == 0;
    return left < lastAuthority && !(nobodyLed && now - sessions.startedAt_ < firstLeaderBy);
}

} // namespace

void wantClaimWrite(LeaderState &leader)
{
    leader.writeWanted_ = true;
}

void reviewLeadership(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    if (group.leader_ && now >= group.leader_->validUntil_) {
        stopLeading(group, "the claim could not be renewed in time", out);
        wantClaims(state, now, out);
    }
    if (!group.leader_) {
        if (asksForClaims(*state.sessions_, group, now)) {
            wantClaims(state, now, out);
        }
        considerClaim(state, group, now, out);
        return;
    }
    if (isZoneCutOff(*state.sessions_) && state.sessions_->schedule_.reachable_) {
        // The larger part of the VMs is on the other side of a cut and may have to replace the primary there.
        releaseLeadership(state, group, "the zone is cut off", now, out);
        return;
    }
    if (isTurnedAway(*state.sessions_, now)) {
        resign(state, group, out);
        return;
    }
    LeaderState &leader = *group.leader_;
    if (leader.claim_.phase_ == ClaimPhase::Steady) {
        // The leader's own authority is its claim; it must not outlast it.
        renewAuthority(group.authority_, leader.claim_.epoch_, leader.claim_.primary_, leader.claim_.term_, std::min(now, leader.validUntil_ - authorityTime));
    } else {
        revokeAuthority(group.authority_, leader.claim_.epoch_);
    }
    reviewReplacement(state, group, now, out);
    renew(state, group, now, out);
}

void onClaimsRead(ProxyState &state, const std::vector<LeaderClaim> &claims, Time askedAt, Time now, Effects & /*out*/)
{
    state.sessions_->schedule_.claimsRead_ = state.sessions_->schedule_.claimsRead_ || state.sessions_->schedule_.registered_;
    // What a delegate learns of silent leaders goes to its zone at once.
    state.sessions_->heartbeatNow_ = state.sessions_->heartbeatNow_ || isDelegate(*state.sessions_);
    for (auto &[id, group] : state.sessions_->groups_) {
        if (group.leader_) {
            continue;
        }
        const auto found = std::ranges::find(claims, id, &LeaderClaim::group_);
        if (found == claims.end()) {
            group.seenClaim_ = LeaderClaim{.group_ = id};
        } else {
            noteSeen(state, group, *found, askedAt, now);
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
    const LeaderClaim *stands = claims != nullptr && !claims->empty() ? &claims->front() : nullptr;
    const bool mine = stands != nullptr && isMine(state, *stands) && stands->generation_ == write.claim_.generation_;
    if (mine && (answer.result_ == StoreResult::Done || answer.result_ == StoreResult::Conflict)) {
        startLeading(*group, *stands, sentAt, now, out);
        return;
    }
    if (stands != nullptr) {
        noteSeen(state, *group, *stands, sentAt, now);
    } else {
        group->seenClaim_.reset();
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
