#include "PrimaryReplacement.h"

#include "CutOff.h"
#include "GroupLeadership.h"
#include "MemberConnections.h"
#include "PlannedRevocation.h"
#include "ProxyState.h"
#include "SessionHeartbeats.h"
#include "SessionLookup.h"
#include "StoreReads.h"
#include "SuccessorChoice.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

namespace {

/** The primary is replaced if no VM has received an answer from it for this long. Slow members answer report requests within about 300 ms. */
constexpr Duration primarySilenceTimeout = std::chrono::milliseconds(900);
/** Replaces primarySilenceTimeout while the primary refuses connections: its process is gone, and only a network fault could give the same impression. */
constexpr Duration refusedPrimaryTimeout = std::chrono::milliseconds(350);
/**
 * A leader decides whether the primary is lost only if it has received heartbeats from at least half of the VMs within this time: a leader that is cut off
 * would otherwise replace a primary that all other VMs still reach. This is shorter than primarySilenceTimeout; reasonToReplace() shortens it further if the
 * primary refuses connections. A network split silences the other VMs and the primary at the same moment; a leader that found the primary lost before it
 * noticed the split would go on to replace it when the split heals, and writes in all zones would stop for about two seconds.
 */
constexpr Duration peerHeardWindow = std::chrono::milliseconds(600);
/**
 * Allowance between the primary's silence and the heartbeats of other VMs: the last request that the primary answered was sent slightly before it became
 * unresponsive, and heartbeats take some time.
 */
constexpr Duration silenceMargin = std::chrono::milliseconds(50);
/** A new leader collects heartbeats for this long before it decides whether the primary is lost. */
constexpr Duration newLeaderDelay = std::chrono::milliseconds(800);
/** Interval between report requests to a member during a survey or a promotion. */
constexpr Duration reportInterval = std::chrono::milliseconds(40);
/** If a promotion that the platform accepted has not been observed within this time, the members are surveyed again. */
constexpr Duration promotionTimeout = std::chrono::milliseconds(2500);
/** Time within which a promotion takes effect once the platform has received the call. */
constexpr Duration promotionEffectTime = std::chrono::milliseconds(600);
/** By this time the platform has received a requested promotion, or never will, and the members' reports show its effect. */
constexpr Duration promotionSettleTime = std::chrono::milliseconds(1000);
/**
 * Timeout of a promotion call to the platform, after which the call's connection is reset. A call of a leader that has resigned must not reach the platform
 * after a call of the next leader, which waits for promotionSettleTime.
 */
constexpr Duration promotionCallTimeout = promotionSettleTime - std::chrono::milliseconds(100);
/** Delay before a failed promotion call is retried. */
constexpr Duration promotionRetryDelay = std::chrono::milliseconds(200);

void logStep(const SessionGroup &group, LogNumber number, std::string_view why, Time now, Effects &out)
{
    const LeaderState &leader = *group.leader_;
    out.emplace_back(WriteLog{number,
                              {{"group", group.id_.value()},
                               {"generation", absl::StrCat(leader.claim_.generation_)},
                               {"epoch", absl::StrCat(leader.claim_.epoch_)},
                               {"primary", leader.claim_.primary_.value()},
                               {"target", leader.target_.value_or(MemberId()).value()},
                               {"reason", std::string(why)},
                               {"ms", absl::StrCat(toMillis(now - leader.replacementSince_))}}});
}

/** Logs a failed promotion call whose result this VM no longer waits for, so that the log tells what became of each call. */
void logLateFailure(const PromotionAnswered &answer, Effects &out)
{
    out.emplace_back(WriteLog{LogNumber::PromotionFailed,
                              {{"group", answer.group_.value()},
                               {"target", answer.member_.value()},
                               {"reason", absl::StrCat("status ", answer.status_, ", after this VM stopped waiting for it")}}});
}

void enterStep(LeaderState &leader, ReplacementStep step, Time now)
{
    leader.step_ = step;
    leader.stepSince_ = now;
}

/** Starts a survey. Reports requested before \p now do not count. */
void beginSurvey(LeaderState &leader, Time now)
{
    enterStep(leader, ReplacementStep::CollectingReports, now);
    leader.reportsRequestedAt_ = now;
    leader.target_.reset();
    leader.promotionAccepted_.reset();
    leader.promotionUnanswered_.reset();
}

/** Whether a member holds commits of a later term than the primary's: a delayed promotion call has made another member primary. */
bool laterTermSeen(ProxyState &state, const SessionGroup &group)
{
    return std::ranges::any_of(group.members_, [&](const MemberId &id) {
        const MemberState *member = findMember(state, id);
        return member != nullptr && group.leader_->claim_.term_ < member->position_.term_;
    });
}

/** Why the primary is replaced. */
struct ReplacementReason
{
    std::string_view text_;
    bool planned_ = false; ///< The primary is leaving but still working.
};

std::optional<ReplacementReason> reasonToReplace(ProxyState &state, const SessionGroup &group, Time now)
{
    const LeaderState &leader = *group.leader_;
    const MemberState *primary = findMember(state, leader.claim_.primary_);
    if (now - leader.leadSince_ < newLeaderDelay || !hasCandidates(state, group)) {
        return std::nullopt;
    }
    if (laterTermSeen(state, group)) {
        return ReplacementReason{"a member is in a later term"};
    }
    if (primary != nullptr && primary->entry_.leaving_ && isSuccessorReady(state, group, now)) {
        return ReplacementReason{"the primary leaves", true};
    }
    if (primary != nullptr && primary->report_ && primary->reportAsOf_ > leader.leadSince_ && !primary->report_->primary_) {
        return ReplacementReason{"the primary says that it is a replica"};
    }
    const std::optional<Duration> heard = timeSincePrimaryHeard(state, group, now);
    const Duration silence = heard.value_or(now - leader.leadSince_);
    const bool refused = primary != nullptr && primary->connectionRefused_;
    // Other VMs must have been heard since the primary became silent. When a network split resets connections, a leader may find the primary lost after only
    // 350 ms, relying on heartbeats from before the split. It would revoke a primary that all other VMs reach, and writes to it would stop until the split
    // heals.
    const Duration since = std::min(peerHeardWindow, silence - silenceMargin);
    const bool hearsEnoughVms = hearsAtLeastHalf(*state.sessions_, since, now) && !isZoneCutOff(*state.sessions_);
    if (silence < (refused ? refusedPrimaryTimeout : primarySilenceTimeout) || !hearsEnoughVms) {
        return std::nullopt;
    }
    return ReplacementReason{refused ? "the primary refuses connections" : "no VM hears the primary"};
}

void revoke(ProxyState &state, SessionGroup &group, const ReplacementReason &reason, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    leader.claim_.epoch_ = std::max(leader.claim_.epoch_, group.authority_.epoch_) + 1;
    leader.claim_.phase_ = ClaimPhase::Replacing;
    leader.revokeStored_.reset();
    leader.planned_ = reason.planned_;
    leader.promotionIssued_ = false;
    leader.replacementSince_ = now;
    enterStep(leader, ReplacementStep::Revoking, now);
    revokePrimary(state, group, leader.claim_.epoch_, now);
    requestClaimWrite(leader);
    logStep(group, LogNumber::PrimaryRevoked, reason.text_, now, out);
}

/** Whether all VMs that are listed in the store or have been heard have confirmed that they no longer use the old primary. */
bool allConfirmed(const ProxyState &state, const SessionGroup &group)
{
    for (const auto &[name, peer] : state.sessions_->peers_) {
        if (!peer.registered_ && !peer.lastReceivedAt_) {
            continue;
        }
        // A confirmation by a process does not count for the process that has been started in its place since.
        const bool restarted = peer.registered_ && peer.listed_ != VmId(0) && peer.lastReceivedAt_ && peer.listed_ != peer.vm_.incarnation_;
        const auto beat = peer.groups_.find(group.id_);
        if (restarted || beat == peer.groups_.end() || beat->second.epoch_ < group.leader_->claim_.epoch_) {
            return false;
        }
    }
    return true;
}

void reviewRevoking(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    if (group.deferredRevocation_) {
        return; // Statements of this VM are under way at the primary.
    }
    if (!leader.revokeStored_) {
        return; // A VM that does not receive this VM's heartbeats could still renew its authority from the store.
    }
    const bool neverUsed = leader.claim_.generation_ == 1 && leader.claim_.primary_ == MemberId();
    const bool expired = neverUsed || now - *leader.revokeStored_ > authorityDuration + authorityMargin;
    const bool settling = leader.promotionIssued_ && now - leader.leadSince_ < promotionSettleTime;
    if (settling) {
        return; // A promotion that a previous leader requested may still take effect.
    }
    // A VM list requested after the store confirmed the revocation names every VM that could hold authority from the store.
    const bool listed = state.sessions_->schedule_.vmsReadAt_ >= *leader.revokeStored_;
    if (!expired && !(listed && allConfirmed(state, group))) {
        return;
    }
    logStep(group, LogNumber::RevocationComplete, neverUsed ? "no primary was used before" : expired ? "authority has run out" : "all VMs confirmed", now, out);
    beginSurvey(leader, now);
}

void requestAllReports(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    for (const MemberId &id : group.members_) {
        MemberState *member = findMember(state, id);
        if (member != nullptr && now - member->lastReportRequestAt_ >= reportInterval) {
            askMemberReport(state, *member, now, out);
        }
    }
}

/** Ends the replacement: \p member reports that it is primary, and all VMs may use it from now on. */
void finishReplacement(ProxyState &state, SessionGroup &group, const MemberState &member, std::string_view why, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    LeaderClaim &claim = leader.claim_;
    claim.primary_ = member.entry_.id_;
    if (claim.term_ < member.report_->term_) {
        claim.term_ = member.report_->term_;
        claim.termStart_ = termStartOf(*member.report_);
    }
    claim.phase_ = ClaimPhase::Steady;
    enterStep(leader, ReplacementStep::None, now);
    leader.leadSince_ = now;
    requestClaimWrite(leader);
    renewAuthority(group.authority_, claim.epoch_, claim.primary_, claim.term_, std::min(now, leader.validUntil_ - authorityDuration));
    state.sessions_->heartbeatNow_ = true;
    logStep(group, LogNumber::PrimaryInForce, why, now, out);
}

void promote(SessionGroup &group, const MemberState &member, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    leader.target_ = member.entry_.id_;
    leader.promotionAccepted_.reset();
    leader.promotionUnanswered_.reset();
    leader.promotionIssued_ = true;
    enterStep(leader, ReplacementStep::Promoting, now);
    leader.promoteAfter_ = now + promotionCallTimeout + promotionRetryDelay;
    logStep(group,
            LogNumber::PromotionCalled,
            absl::StrCat("has received ", toString(member.report_->received_), " in term ", member.report_->term_.value()),
            now,
            out);
    out.emplace_back(SessionEffect(CallPromotion{group.id_, member.entry_.id_, leader.claim_.generation_, promotionCallTimeout}));
}

void reviewSurvey(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    MemberState *old = findMember(state, leader.claim_.primary_);
    const ReplicationReport *oldReport = old == nullptr ? nullptr : currentReport(leader, *old);
    if (leader.planned_ && old != nullptr && oldReport != nullptr && oldReport->primary_) {
        askStepDown(state, *old, Term(leader.claim_.term_.value() + 1), now, out);
    }
    requestAllReports(state, group, now, out);
    if (const MemberState *current = findCurrentPrimary(state, group)) {
        finishReplacement(state, group, *current, "leads already", now, out);
        return;
    }
    const MemberState *successor = now < leader.promoteAfter_ ? nullptr : chooseSuccessor(state, group, now);
    if (successor != nullptr) {
        promote(group, *successor, now, out);
    }
}

/** Revokes the primary if it has to be replaced. */
void reviewSteady(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    const LeaderState &leader = *group.leader_;
    const MemberState *primary = findMember(state, leader.claim_.primary_);
    if (primary != nullptr && primary->entry_.leaving_) {
        requestSuccessorReports(state, group, now, out);
    }
    // A previous leader's revocation that was never recorded in the store, or a VM that found the primary to have lost its log.
    if (group.highestEpochHeard_ > leader.claim_.epoch_) {
        revoke(state, group, {"another VM knows a later epoch"}, now, out);
    } else if (const std::optional<ReplacementReason> reason = reasonToReplace(state, group, now)) {
        revoke(state, group, *reason, now, out);
    }
    if (leader.step_ != ReplacementStep::None) {
        state.sessions_->heartbeatNow_ = true;
    }
}

void reviewPromoting(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    MemberState *target = findMember(state, *leader.target_);
    const bool hadNoEffect = leader.promotionUnanswered_ && now - *leader.promotionUnanswered_ > promotionEffectTime;
    if (target == nullptr || hadNoEffect || now - leader.stepSince_ > promotionTimeout) {
        logStep(group, LogNumber::PromotionFailed, "not seen in time", now, out);
        beginSurvey(leader, now);
        return;
    }
    if (now - target->lastReportRequestAt_ >= reportInterval) {
        askMemberReport(state, *target, now, out);
    }
    const bool reportsPrimary = target->report_ && target->reportAsOf_ >= leader.stepSince_ && target->report_->primary_;
    // The call has no effect on a member that is already primary. This is certain once a change would have been observed.
    const bool unchanged = leader.promotionAccepted_ && target->reportAsOf_ > *leader.promotionAccepted_ + promotionSettleTime;
    if (reportsPrimary && (leader.claim_.term_ < target->report_->term_ || unchanged)) {
        finishReplacement(state, group, *target, "promoted", now, out);
    }
}

} // namespace

std::optional<Duration> timeSincePrimaryHeard(ProxyState &state, const SessionGroup &group, Time now)
{
    const LeaderState &leader = *group.leader_;
    std::optional<Time> heardAt;
    if (const MemberState *primary = findMember(state, leader.claim_.primary_); primary != nullptr) {
        heardAt = primary->lastAnsweredAt_;
    }
    if (group.primaryHeardEpoch_ == leader.claim_.epoch_ && group.primaryHeardAt_ != Time()) {
        heardAt = std::max(heardAt.value_or(group.primaryHeardAt_), group.primaryHeardAt_);
    }
    return heardAt ? std::optional(now - *heardAt) : std::nullopt;
}

void resumeReplacement(SessionGroup &group, Time now)
{
    LeaderState &leader = *group.leader_;
    revokeAuthority(group.authority_, leader.claim_.epoch_);
    leader.replacementSince_ = now;
    leader.revokeStored_ = now; // The claim that was just written records the revocation.
    leader.promotionIssued_ = leader.claim_.generation_ > 1;
    enterStep(leader, ReplacementStep::Revoking, now);
}

void reviewReplacement(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    if (now >= leader.validUntil_) {
        return;
    }
    switch (leader.step_) {
    case ReplacementStep::None:
        reviewSteady(state, group, now, out);
        return;
    case ReplacementStep::Revoking:
        reviewRevoking(state, group, now, out);
        return;
    case ReplacementStep::CollectingReports:
        reviewSurvey(state, group, now, out);
        return;
    case ReplacementStep::Promoting:
        reviewPromoting(state, group, now, out);
        return;
    }
}

void onPromotionAnswered(ProxyState &state, const PromotionAnswered &answer, Time now, Effects &out)
{
    constexpr unsigned accepted = 200;
    SessionGroup *group = findGroup(state, answer.group_);
    if (group == nullptr || !group->leader_ || group->leader_->step_ != ReplacementStep::Promoting || group->leader_->target_ != answer.member_) {
        if (answer.status_ != accepted) {
            logLateFailure(answer, out);
        }
        return;
    }
    if (answer.status_ == accepted) {
        group->leader_->promotionAccepted_ = now;
        return;
    }
    logStep(*group, LogNumber::PromotionFailed, absl::StrCat("status ", answer.status_), now, out);
    if (answer.status_ == 0) {
        // The platform may have received the call, so the member is observed until its effect would have shown.
        group->leader_->promotionUnanswered_ = now;
    } else {
        group->leader_->promoteAfter_ = now + promotionRetryDelay;
        beginSurvey(*group->leader_, now);
    }
}

} // namespace Figward
