#include "SessionService.h"

#include "ConfigurationReads.h"
#include "ConnectionSharing.h"
#include "CutOff.h"
#include "GroupLeadership.h"
#include "MemberConnections.h"
#include "MemberDirectoryUpdate.h"
#include "OrganisationQuota.h"
#include "Overloaded.h"
#include "PrimaryReplacement.h"
#include "ProxyState.h"
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

/** How often all that waits for time to pass is looked at. Shorter costs processor time on idle VMs, longer adds to every time-out. */
constexpr Duration reviewInterval = std::chrono::milliseconds(50);
/** The primary is asked for a report if it has not answered anything for this long. */
constexpr Duration probeAfter = std::chrono::milliseconds(300);
constexpr Duration probeInterval = std::chrono::milliseconds(250);
/** A member that did not answer is asked this often, by each VM that it did not answer: seldom enough for many VMs together, and once a statement is sent back for it, nothing else asks. */
constexpr Duration doubtInterval = std::chrono::milliseconds(1000);

/** Notes when the VM is cut off from the rest, and when it no longer is, or for another reason. */
void reviewCutOff(SessionServiceState &sessions, Time now, Effects &out)
{
    const std::optional<CutOffReason> reason = findCutOff(sessions, now);
    std::optional<CutOff> &noted = sessions.cutOff_;
    if (noted ? noted->reason_ == reason : !reason) {
        return;
    }
    const auto log = [&](LogNumber number, CutOffReason why) {
        out.emplace_back(WriteLog{number, {{"zone", sessions.identity_.vm_.zone_.value()}, {"reason", std::string(toString(why))}}});
    };
    if (noted) {
        log(LogNumber::VmRejoined, noted->reason_);
    }
    noted = reason ? std::optional(CutOff{*reason, now}) : std::nullopt;
    if (noted) {
        log(LogNumber::VmCutOff, noted->reason_);
    }
}

void reviewReady(ProxyState &state, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    const bool unlisted = sessions.cutOff_ && sessions.identity_.policies_.unlistsWhenCutOff_;
    const bool ready = sessions.configuration_ && sessions.directoryKnown_ && !sessions.drainSince_ && !unlisted;
    if (sessions.ready_ != ready) {
        sessions.ready_ = ready;
        out.emplace_back(SessionEffect(SetReady{ready}));
    }
}

/** Keeps word of the primary coming while no statement goes there. */
void probePrimary(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    MemberState *primary = findMember(state, group.authority_.primary_);
    if (primary == nullptr || (primary->heard_ && now - *primary->heard_ < probeAfter) || now - primary->controlAsked_ < probeInterval) {
        return;
    }
    askMemberReport(state, *primary, now, out);
}

/**
 * Asks the members that did not answer this VM. Statements pass them over, or are refused, so that without these questions a VM never learnt that a member was
 * well again: it served nothing of the group's primary for the rest of its life, and left a replica's part to the others.
 */
void probeDoubted(ProxyState &state, const SessionGroup &group, Time now, Effects &out)
{
    for (const MemberId &id : group.members_) {
        MemberState *member = findMember(state, id);
        const bool isSilent = member != nullptr && isInDoubt(*member) && (!member->heard_ || now - *member->heard_ >= doubtInterval);
        if (isSilent && now - member->controlAsked_ >= doubtInterval) {
            askMemberReport(state, *member, now, out);
        }
    }
}

/** Asks members of other zones for a sign of life while no VM there gives one. */
void probeElsewhere(ProxyState &state, const SessionGroup &group, Time now, Effects &out)
{
    for (const MemberId &id : group.members_) {
        MemberState *member = findMember(state, id);
        const bool elsewhere = member != nullptr && member->entry_.zone_ != state.sessions_->identity_.vm_.zone_;
        const bool silent = elsewhere && (!member->heard_ || now - *member->heard_ > probeAfter);
        if (silent && now - member->controlAsked_ > probeInterval) {
            askMemberReport(state, *member, now, out);
        }
    }
}

/** Notes since when the primary cannot be used; one of a new epoch has its time to be reached. */
void notePrimaryLost(const SessionServiceState &sessions, SessionGroup &group, Time now)
{
    if (reachesPrimary(sessions, group, now)) {
        group.primaryLostAt_.reset();
    } else if (!group.primaryLostAt_ || group.primaryLostEpoch_ != group.authority_.epoch_) {
        group.primaryLostAt_ = now;
        group.primaryLostEpoch_ = group.authority_.epoch_;
    }
}

/** Notes when authority over the group's primary comes and goes, and how long a replacement kept it away. */
void noteAuthority(SessionServiceState &sessions, SessionGroup &group, Time now, Effects &out)
{
    const bool held = holdsAuthority(group.authority_, now);
    if (held != group.heldAuthority_) {
        group.heldAuthority_ = held;
        out.emplace_back(WriteLog{held ? LogNumber::AuthorityRegained : LogNumber::AuthorityLost,
                                  {{"group", group.id_.value()},
                                   {"epoch", absl::StrCat(group.authority_.epoch_)},
                                   {"primary", group.authority_.primary_.value()},
                                   {"term", absl::StrCat(group.authority_.term_.value())}}});
        if (!held) {
            group.authorityLostAt_ = now;
        } else if (group.heldEpoch_ != 0 && group.heldEpoch_ != group.authority_.epoch_) {
            noteOutage(sessions.outages_, now - group.authorityLostAt_);
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
    reviewResidences(*state.sessions_, group, now);
    reviewLeadership(state, group, now, out);
    if (asksPrimary(*state.sessions_, group)) {
        probePrimary(state, group, now, out);
    }
    probeDoubted(state, group, now, out);
    if (shouldAskElsewhere(*state.sessions_, now)) {
        probeElsewhere(state, group, now, out);
    }
    notePrimaryLost(*state.sessions_, group, now);
    noteAuthority(*state.sessions_, group, now, out);
}

void review(ProxyState &state, Time now, Effects &out)
{
    state.sessions_->entryVms_ = countEntryVms(*state.sessions_, now);
    reviewDelegates(*state.sessions_, now);
    tellNewVms(*state.sessions_, now, out);
    reviewStoreReads(state, now, out);
    reviewDirectory(state, now, out);
    for (auto &[id, group] : state.sessions_->groups_) {
        reviewGroup(state, group, now, out);
    }
    reviewMemberConnections(state, now, out);
    reviewAdmission(state, now, out);
    reviewWaitingSessions(state, now, out);
    closeRevokedSessions(*state.sessions_, out);
    reviewSessions(state, now, out);
    reviewSessionDrain(state, now, out);
    reviewCutOff(*state.sessions_, now, out);
    reviewReady(state, out);
    state.timers_.arm(now + reviewInterval, TimerTag{TimerTopic::SessionReview, {}, 0});
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
        [&](const StoreAnswered &body) { onStoreAnswered(state, body, now, out); },
        [&](const StoreAnswerBegan &body) { onStoreAnswerBegan(state, body, now); },
        [&](const PromotionAnswered &body) { onPromotionAnswered(state, body, now, out); },
    };
    std::visit(handle, event);
}

void settleSessions(ProxyState &state, Time now, Effects &out)
{
    for (auto &[id, group] : state.sessions_->groups_) {
        const bool wasQueue = group.queue_.waitingSince_.has_value();
        if ((wasQueue || !group.waiting_.empty()) && state.sessions_->configuration_) {
            dispatchStatements(state, group, now, out);
        }
    }
    for (auto &[id, group] : state.sessions_->groups_) {
        // Each step of a replacement is taken as soon as what it waits for has come: writes stall meanwhile.
        if (group.leader_ && group.leader_->step_ != ReplacementStep::None) {
            reviewReplacement(state, group, now, out);
        }
    }
    sendHeartbeats(state, now, out);
}

} // namespace Figward
