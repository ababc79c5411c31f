#include "SessionService.h"

#include "ConfigurationReads.h"
#include "ConnectionSharing.h"
#include "CutOff.h"
#include "GroupAdvice.h"
#include "GroupInterest.h"
#include "GroupLeadership.h"
#include "MemberConnections.h"
#include "MemberDirectoryUpdate.h"
#include "OrganisationQuota.h"
#include "Overloaded.h"
#include "PlannedRevocation.h"
#include "PrimaryReplacement.h"
#include "ProxyState.h"
#include "ReadForwarding.h"
#include "SessionAccess.h"
#include "SessionDrain.h"
#include "SessionHeartbeats.h"
#include "SessionLookup.h"
#include "SessionStatements.h"
#include "StatementDispatch.h"
#include "StoreReads.h"

#include <absl/strings/str_cat.h>

namespace Figward {

namespace {

/**
 * Interval of the periodic review, which checks all time-based conditions. A shorter interval costs processor time on idle VMs; a longer one delays every
 * timeout.
 */
constexpr Duration reviewInterval = std::chrono::milliseconds(50);
/** Replaces reviewInterval in large fleets, in which most VMs are at rest most of the time. */
constexpr Duration onDemandReviewInterval = std::chrono::milliseconds(100);
/** The primary is asked for a report if it has not answered any request for this long. */
constexpr Duration probeAfter = std::chrono::milliseconds(300);
constexpr Duration probeInterval = std::chrono::milliseconds(250);
/**
 * Interval at which each VM polls a member that did not answer it. It is long enough that many VMs together cause little load. No other request reaches such a
 * member: statements are refused or sent elsewhere.
 */
constexpr Duration unavailableProbeInterval = std::chrono::milliseconds(1000);

/** Detects and logs when this VM becomes cut off, when the cut ends, and when its reason changes. */
void reviewCutOff(SessionServiceState &sessions, Time now, Effects &out)
{
    const std::optional<CutOffReason> reason = findCutOff(sessions, now);
    std::optional<CutOff> &recorded = sessions.cutOff_;
    if (recorded ? recorded->reason_ == reason : !reason) {
        return;
    }
    const auto log = [&](LogNumber number, CutOffReason why) {
        out.emplace_back(WriteLog{number, {{"zone", sessions.identity_.vm_.zone_.value()}, {"reason", std::string(toString(why))}}});
    };
    if (recorded) {
        log(LogNumber::VmRejoined, recorded->reason_);
    }
    recorded = reason ? std::optional(CutOff{*reason, now}) : std::nullopt;
    if (recorded) {
        log(LogNumber::VmCutOff, recorded->reason_);
    }
}

void reviewReady(ProxyState &state, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    const bool isNotReadyAsCutOff = sessions.cutOff_ && sessions.identity_.policies_.notReadyWhenCutOff_;
    const bool ready = sessions.configuration_ && sessions.directoryKnown_ && !sessions.drainSince_ && !isNotReadyAsCutOff;
    if (sessions.ready_ != ready) {
        sessions.ready_ = ready;
        out.emplace_back(SessionEffect(SetReady{ready}));
    }
}

/** Requests a report from the primary if no recent answer from it is known, so that its state stays current while no statements are sent to it. */
void probePrimary(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    MemberState *primary = findMember(state, group.authority_.primary_);
    if (primary == nullptr || (primary->lastAnsweredAt_ && now - *primary->lastAnsweredAt_ < probeAfter)
        || now - primary->lastReportRequestAt_ < probeInterval) {
        return;
    }
    askMemberReport(state, *primary, now, out);
}

/**
 * Polls the members that did not answer this VM. Statements avoid such members or are refused, so without polling a VM would never learn that a member has
 * recovered: it would not use the group's primary again until it restarts, and would leave a replica's share of the load to the others.
 */
void probeUnavailableMembers(ProxyState &state, const SessionGroup &group, Time now, Effects &out)
{
    for (const MemberId &id : group.members_) {
        MemberState *member = findMember(state, id);
        const bool isDue =
            member != nullptr && isUnavailable(*member) && (!member->lastAnsweredAt_ || now - *member->lastAnsweredAt_ >= unavailableProbeInterval);
        if (isDue && now - member->lastReportRequestAt_ >= unavailableProbeInterval) {
            askMemberReport(state, *member, now, out);
        }
    }
}

/** Polls members of other zones while no VM there responds. */
void probeOtherZones(ProxyState &state, const SessionGroup &group, Time now, Effects &out)
{
    for (const MemberId &id : group.members_) {
        MemberState *member = findMember(state, id);
        const bool elsewhere = member != nullptr && member->entry_.zone_ != state.sessions_->identity_.vm_.zone_;
        const bool silent = elsewhere && (!member->lastAnsweredAt_ || now - *member->lastAnsweredAt_ > probeAfter);
        if (silent && now - member->lastReportRequestAt_ > probeInterval) {
            askMemberReport(state, *member, now, out);
        }
    }
}

/** Records since when the primary cannot be used. The time starts again with each epoch and primary, which leaves a new primary time to become reachable. */
void recordPrimaryLost(const SessionServiceState &sessions, SessionGroup &group, Time now)
{
    if (reachesPrimary(sessions, group, now)) {
        group.primaryLostAt_.reset();
    } else if (!group.primaryLostAt_ || group.primaryLostEpoch_ != group.authority_.epoch_ || group.primaryLostMember_ != group.authority_.primary_) {
        group.primaryLostAt_ = now;
        group.primaryLostEpoch_ = group.authority_.epoch_;
        group.primaryLostMember_ = group.authority_.primary_;
    }
}

/** Logs when authority over the group's primary is gained or lost, and records the length of the outage caused by a replacement. */
void recordAuthority(SessionServiceState &sessions, SessionGroup &group, Time now, Effects &out)
{
    const bool held = holdsAuthority(group.authority_, now);
    const bool isExpected = sessions.onDemand_ && !group.leader_; // There, authority comes and goes with each use of the group.
    if (held && !group.heldAuthority_) {
        group.authorityHeldSince_ = now;
    }
    if (held != group.heldAuthority_ && isExpected) {
        group.heldAuthority_ = held;
    } else if (held != group.heldAuthority_) {
        group.heldAuthority_ = held;
        out.emplace_back(WriteLog{held ? LogNumber::AuthorityRegained : LogNumber::AuthorityLost,
                                  {{"group", group.id_.value()},
                                   {"epoch", absl::StrCat(group.authority_.epoch_)},
                                   {"primary", group.authority_.primary_.value()},
                                   {"term", absl::StrCat(group.authority_.term_.value())}}});
        if (!held) {
            group.authorityLostAt_ = now;
        } else if (group.heldEpoch_ != 0 && group.heldEpoch_ != group.authority_.epoch_) {
            recordOutage(sessions.outages_, now - group.authorityLostAt_);
        }
    }
    if (held) {
        group.heldEpoch_ = group.authority_.epoch_;
    }
}

void reviewGroup(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    if (!state.sessions_->configuration_) {
        return;
    }
    reviewPersistentMembers(*state.sessions_, group, now);
    reviewLeadership(state, group, now, out);
    reviewAdvice(state, group, now, out);
    if (probesPrimary(*state.sessions_, group)) {
        probePrimary(state, group, now, out);
    }
    probeUnavailableMembers(state, group, now, out);
    if (shouldProbeOtherZones(*state.sessions_, now)) {
        probeOtherZones(state, group, now, out);
    }
    recordPrimaryLost(*state.sessions_, group, now);
    recordAuthority(*state.sessions_, group, now, out);
}

/** Reviews what depends on all known VMs or groups, less often than the rest: with hundreds of them, that is most of the work of a VM at rest. */
void reviewFleet(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (sessions.onDemand_ && now < sessions.delegatesReviewAt_) {
        return;
    }
    sessions.entryVms_ = countEntryVms(sessions, now);
    const bool isDue = now >= sessions.delegatesReviewAt_;
    reviewDelegates(sessions, now);
    if (isDue) {
        reviewTrackedGroups(state, now, out);
    }
}

void review(ProxyState &state, Time now, Effects &out)
{
    reviewFleet(state, now, out);
    logNewVms(*state.sessions_, now, out);
    reviewStoreReads(state, now, out);
    removeMissingMembers(state, now, out);
    forEachReviewedGroup(*state.sessions_, [&](SessionGroup &group) { reviewGroup(state, group, now, out); });
    askLeaders(state, now);
    reviewMemberConnections(state, now, out);
    reviewAdmission(state, now, out);
    reviewWaitingSessions(state, now, out);
    closeRevokedSessions(*state.sessions_, out);
    reviewSessions(state, now, out);
    reviewForwardedReads(*state.sessions_, now);
    reviewSessionDrain(state, now, out);
    reviewCutOff(*state.sessions_, now, out);
    reviewReady(state, out);
    state.timers_.arm(now + (state.sessions_->onDemand_ ? onDemandReviewInterval : reviewInterval), TimerTag{TimerTopic::SessionReview, {}, 0});
}

} // namespace

void startSessionService(ProxyState &state, Time now, Effects &out)
{
    state.sessions_->startedAt_ = now;
    review(state, now, out);
}

void onSessionTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    if (tag.topic_ == TimerTopic::SessionReview) {
        review(state, now, out);
    } else if (tag.topic_ == TimerTopic::ForwardedRead) {
        onForwardTimeout(state, SessionKey(tag.key_), now, out);
    } else {
        onStatementDeadline(state, SessionKey(tag.key_), now, out);
    }
}

void onSessionEvent(ProxyState &state, const SessionEvent &event, Time now, Effects &out)
{
    const Overloaded handle{
        [&](const SessionOpened &body) { onSessionOpened(state, body, now, out); },
        [&](const StatementArrived &body) { onStatementArrived(state, body, now, out); },
        [&](const SessionClosed &body) { onSessionClosed(state, body.session_, now, out); },
        [&](const MemberReplyArrived &body) { onMemberReply(state, body, now, out); },
        [&](const HeartbeatReceived &body) { onHeartbeatReceived(state, body.heartbeat_, now, out); },
        [&](const AdmissionRequest &body) { onAdmissionRequest(state, body, now, out); },
        [&](const AdmissionGrant &body) { onAdmissionGrant(state, body, now, out); },
        [&](const ForwardedRead &body) { onForwardedRead(state, body, now, out); },
        [&](const ForwardedReadResult &body) { onForwardedReadResult(state, body, now, out); },
        [&](const StoreAnswered &body) { onStoreAnswered(state, body, now, out); },
        [&](const StoreAnswerBegan &body) { onStoreAnswerBegan(state, body, now); },
        [&](const PromotionAnswered &body) { onPromotionAnswered(state, body, now, out); },
    };
    std::visit(handle, event);
}

void runPendingSessionWork(ProxyState &state, Time now, Effects &out)
{
    forEachReviewedGroup(*state.sessions_, [&](SessionGroup &group) {
        const bool wasWaiting = group.queue_.waitingSince_.has_value();
        if ((wasWaiting || countWaiting(group.waiting_) > 0) && state.sessions_->configuration_) {
            dispatchStatements(state, group, now, out);
        }
        reviewDeferredRevocation(state, group, now);
        // Writes stall during a replacement, so each step is taken as soon as its condition holds and not only at the next review.
        if (group.leader_ && group.leader_->step_ != ReplacementStep::None) {
            reviewReplacement(state, group, now, out);
        }
    });
    closeRefusedSessions(*state.sessions_, now, out);
    sendHeartbeats(state, now, out);
}

} // namespace Figward
