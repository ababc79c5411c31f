#include "StatementAnswers.h"

#include "GroupAdvice.h"
#include "LoadShedding.h"
#include "MemberConnections.h"
#include "MemberEjections.h"
#include "ProxyState.h"
#include "SessionLookup.h"
#include "StatementNeeds.h"
#include "StatementOutcome.h"
#include "StatementSteps.h"

#include <absl/strings/str_cat.h>

namespace Figward {

namespace {

/** Handles the successful answer to the statement itself. */
void completeStatement(ProxyState &state, ClientSession &session, MemberConnection &connection, const SessionReply &reply, Time now, Effects &out)
{
    const StatementRun &run = *session.run_;
    SessionGroup &group = *findGroup(state, session.route_.service_);
    if (state.sessions_->configuration_ && state.sessions_->configuration_->organisations_) {
        recordWork(group.costs_, session.database_, now - run.sentAt_);
    }
    const bool isValid = !run.usesPrimary_ || holdsAuthority(group.authority_, connection.member_, now);
    const bool changed = changesDatabase(session, run);
    const bool harmless = session.state_ == TransactionState::Open && !changed;
    if (!isValid && changed) {
        // The statement ran at a member that may have been replaced meanwhile, so the new primary may lack its changes.
        finishUnconfirmed(state, session, ReplyCode::InDoubt, "the primary may have been replaced while it ran", now, out);
        return;
    }
    if (!isValid && !harmless) {
        releaseMemberConnection(state, connection.id_, now, out);
        retryStatement(state, session, MemberId(), "the primary may have been replaced while it ran", now, out);
        return;
    }
    if (changed && reply.position_) {
        session.lastCommit_ = reply.position_;
    }
    const bool over = session.state_ == TransactionState::None || run.statement_.kind_ == StatementKind::Commit;
    if (over) {
        endTransaction(session);
        releaseMemberConnection(state, connection.id_, now, out);
    }
    finishStatement(state, session, reply, now, out);
}

/**
 * Records that the member refused a read because its log does not reach the required position. If the primary had reached that position long before, the
 * refusal is reported to the leader: a replica is usually some milliseconds behind, which tells other VMs nothing.
 */
void recordLagging(ProxyState &state, ClientSession &session, const MemberConnection &connection, Time now)
{
    constexpr Duration longLag = std::chrono::milliseconds(300);
    MemberState *member = findMember(state, connection.member_);
    if (member == nullptr || !session.run_->after_) {
        return;
    }
    SessionGroup &group = *findGroup(state, session.route_.service_);
    const std::optional<LogPoint> reachedBefore = positionBefore(group.samples_, now - longLag);
    member->laggedAt_ = now;
    member->laggedBehind_ = session.run_->after_;
    member->longLag_ = reachedBefore && *session.run_->after_ <= *reachedBefore ? session.run_->after_ : std::nullopt;
    totalsOf(observe(group, now), connection.member_);
}

/** Handles an error from a member for the statement or for a request that prepares its connection. */
void onRefusal(ProxyState &state,
               ClientSession &session,
               MemberConnection &connection,
               const MemberRequest &request,
               const SessionReply &reply,
               Time now,
               Effects &out)
{
    const MemberId member = connection.member_;
    if (reply.code_ == ReplyCode::Lagging) {
        recordLagging(state, session, connection, now);
    }
    const bool prepares = !isStatement(request);
    if (prepares && !guaranteesNotRun(reply.code_)) {
        // The state of the connection is unknown, so it cannot be used for the session or any other.
        closeMemberConnection(state, connection.id_, out);
        if (isStatementRetryable(session)) {
            retryStatement(state, session, member, toString(reply.code_), now, out);
        } else {
            refuseStatement(state, session, ReplyCode::Aborted, absl::StrCat("could not prepare the connection: ", toString(reply.code_)), now, out);
        }
        return;
    }
    if (guaranteesNotRun(reply.code_)) {
        session.run_->sent_ = false; // The member guarantees that the statement did not run.
        if (isStatementRetryable(session)) {
            releaseMemberConnection(state, connection.id_, now, out);
            retryStatement(state, session, member, toString(reply.code_), now, out);
        } else {
            refuseStatement(state, session, ReplyCode::Aborted, absl::StrCat("refused by the member: ", toString(reply.code_)), now, out);
        }
        return;
    }
    if (reply.code_ == ReplyCode::Failed && mayTryElsewhere(state, session, member, now)) {
        session.run_->failedAt_ = member;
        releaseMemberConnection(state, connection.id_, now, out);
        retryStatement(state, session, member, toString(reply.code_), now, out);
        return;
    }
    // The statement ran and failed.
    const bool inTransaction = session.state_ != TransactionState::None;
    const bool ends = session.run_->statement_.kind_ == StatementKind::Commit;
    releaseMemberConnection(state, connection.id_, now, out);
    endTransaction(session);
    session.state_ = inTransaction && !ends ? TransactionState::Failed : TransactionState::None;
    finishStatement(state, session, reply, now, out);
}

} // namespace

void onStepAnswered(ProxyState &state, MemberConnection &connection, const MemberRequest &request, const SessionReply &reply, Time now, Effects &out)
{
    ClientSession *session = connection.session_ ? findSession(state, *connection.session_) : nullptr;
    if (session == nullptr || !session->run_) {
        releaseMemberConnection(state, connection.id_, now, out);
        return;
    }
    if (isStatement(request) || reply.code_ != ReplyCode::None) {
        countReply(state, *session, connection.member_, reply.code_, now);
    }
    if (reply.code_ != ReplyCode::None) {
        onRefusal(state, *session, connection, request, reply, now, out);
    } else if (!isStatement(request)) {
        sendNextStep(state, connection, now, out);
    } else {
        completeStatement(state, *session, connection, reply, now, out);
    }
}

void onSessionConnectionLost(ProxyState &state, SessionKey key, const MemberId &member, Time now, Effects &out)
{
    ClientSession *session = findSession(state, key);
    if (session == nullptr) {
        return;
    }
    if (!session->run_) {
        // The session was idle inside a transaction: the member rolls it back, and the next statement is answered with an error.
        endTransaction(*session);
        session->state_ = TransactionState::Failed;
        return;
    }
    countMissingReply(state, *session, member, now);
    StatementRun &run = *session->run_;
    if (isStatementRetryable(*session)) {
        retryStatement(state, *session, member, "the connection to the member was lost", now, out);
        return;
    }
    run.connection_.reset();
    session->pinned_.reset();
    if (changesDatabase(*session, run)) {
        finishUnconfirmed(state, *session, ReplyCode::InDoubt, "the connection to the member was lost before its answer", now, out);
    } else {
        // The commit was never sent, or the transaction has no changes.
        finishUnconfirmed(state, *session, ReplyCode::Aborted, "the connection of the transaction was lost", now, out);
    }
}

bool mayStillSend(ProxyState &state, MemberConnection &connection, const MemberRequest &step, Time now, Effects &out)
{
    ClientSession *session = connection.session_ ? findSession(state, *connection.session_) : nullptr;
    if (session == nullptr || !session->run_) {
        return true;
    }
    StatementRun &run = *session->run_;
    const SessionGroup &group = *findGroup(state, session->route_.service_);
    const bool harmless = run.statement_.kind_ == StatementKind::Commit && !session->wrote_;
    if (!run.usesPrimary_ || harmless || holdsAuthority(group.authority_, connection.member_, now)) {
        if (isStatement(step)) {
            recordWait(state, *session, now);
            run.sent_ = true;
            run.sentAt_ = now;
        }
        return true;
    }
    const MemberId member = connection.member_;
    if (isStatementRetryable(*session)) {
        releaseMemberConnection(state, connection.id_, now, out);
        retryStatement(state, *session, member, "the primary is being replaced", now, out);
    } else {
        refuseStatement(state, *session, ReplyCode::Aborted, "the primary is being replaced", now, out);
    }
    return false;
}

} // namespace Figward
