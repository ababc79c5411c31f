#include "SessionStatements.h"

#include "GroupInterest.h"
#include "LoadShedding.h"
#include "MemberConnections.h"
#include "MemberEjections.h"
#include "OrganisationQuota.h"
#include "ProxyState.h"
#include "ReadForwarding.h"
#include "SessionAccess.h"
#include "SessionDrain.h"
#include "SessionLookup.h"
#include "StatementDispatch.h"
#include "StatementNeeds.h"
#include "StatementOutcome.h"
#include "StatementSteps.h"

#include <utility>

namespace Figward {

namespace {

/** A read that its member does not answer within this time is retried at another member. It is several times the longest execution time of a read. */
constexpr Duration readTimeout = std::chrono::milliseconds(450);

constexpr const char *keyRevokedText = "no organisation holds the key of this session any more";

/** The route of the session's database, if the active configuration has one. */
const DatabaseRoute *findRoute(const ProxyState &state, const std::string &database)
{
    const auto found = state.sessions_->configuration_->databases_.find(database);
    return found == state.sessions_->configuration_->databases_.end() ? nullptr : &found->second;
}

/** Records that the session uses its group. */
void useGroup(ProxyState &state, const ClientSession &session, Time now)
{
    if (SessionGroup *group = findGroup(state, session.route_.service_)) {
        recordGroupUse(state, *group, now);
    }
}

/** Runs a statement that needs a member. */
void runStatement(ProxyState &state, ClientSession &session, ClientStatement statement, Time now, Effects &out)
{
    StatementRun run;
    run.statement_ = std::move(statement);
    run.arrived_ = now;
    run.deadline_ = now + session.route_.statementTimeout_;
    session.run_ = std::move(run);
    state.timers_.arm(session.run_->deadline_ - answerMargin, TimerTag{TimerTopic::SessionStatement, {}, session.key_.value()});
    if (isWrite(session, session.run_->statement_) && session.state_ != TransactionState::None) {
        session.wrote_ = true;
    }
    useGroup(state, session, now);
    if (refuseIfDraining(state, session, now, out)) {
        return;
    }
    if (!session.pinned_) {
        session.run_->first_ = true;
        if (refuseIfShed(state, session, now, out)) {
            return;
        }
        admitOperation(state, session, now, out);
        return;
    }
    MemberConnection *connection = findConnection(state, *session.pinned_);
    if (connection == nullptr) {
        refuseStatement(state, session, ReplyCode::Aborted, "the connection of the transaction was lost", now, out);
        return;
    }
    session.run_->connection_ = connection->id_;
    // The read position of a transaction was fixed when it began; only its writes still depend on which member is the primary.
    session.run_->usesPrimary_ = changesDatabase(session, *session.run_);
    session.run_->attempts_ = 1;
    session.run_->member_ = connection->member_;
    session.run_->placedAt_ = now;
    chargeTransactionStatement(state, session);
    connection->steps_ = stepsFor(session, *connection);
    sendNextStep(state, *connection, now, out);
}

/** Sets the route and the organisation of an operation that begins. Returns false if the operation was refused; the error has then been sent to the client. */
bool beginOperation(ProxyState &state, ClientSession &session, Effects &out)
{
    const DatabaseRoute *route = findRoute(state, session.database_);
    if (route == nullptr) {
        answerError(session, ReplyCode::NoDatabase, session.database_, out);
        return false;
    }
    const Caller caller = callerOf(*state.sessions_, session, *route);
    if (!caller.admitted_) {
        session.revoked_ = true;
        answerError(session, ReplyCode::NotAuthenticated, keyRevokedText, out);
        return false;
    }
    session.route_ = *route;
    session.organisation_ = caller.organisation_;
    return true;
}

/** Whether the key of \p session still belongs to the organisation for which its open transaction runs. */
bool keepsOrganisation(const ProxyState &state, const ClientSession &session)
{
    const Caller caller = callerOf(*state.sessions_, session, session.route_);
    return caller.admitted_ && caller.organisation_ == session.organisation_;
}

/** Aborts the open transaction of a client whose key was revoked: the member rolls it back, and none of its further statements run. */
void abortRevoked(ProxyState &state, ClientSession &session, const ClientStatement &statement, Time now, Effects &out)
{
    if (session.pinned_) {
        releaseMemberConnection(state, *session.pinned_, now, out);
    }
    const bool ends = statement.kind_ == StatementKind::Commit || statement.kind_ == StatementKind::Rollback;
    endTransaction(session);
    session.state_ = ends ? TransactionState::None : TransactionState::Failed;
    answerError(session, ReplyCode::Aborted, keyRevokedText, out);
}

void begin(ProxyState &state, ClientSession &session, const ClientStatement &statement, Time now, Effects &out)
{
    if (refusesOperations(*state.sessions_, now)) {
        markRefusedByDrain(*state.sessions_, session, now);
        answerError(session, ReplyCode::Retry, drainRefusalText(), out);
        return;
    }
    if (!beginOperation(state, session, out)) {
        return;
    }
    session.state_ = TransactionState::Open;
    session.beginId_ = statement.id_;
    session.readOnly_ = statement.kind_ == StatementKind::BeginRead;
    session.wrote_ = false;
    answerDone(session, out);
}

/** Runs a read or a write, inside or outside a transaction. */
void runWork(ProxyState &state, ClientSession &session, const ClientStatement &statement, Time now, Effects &out)
{
    if (statement.kind_ == StatementKind::Execute && !session.prepared_.contains(statement.name_)) {
        if (session.state_ == TransactionState::Open) {
            if (session.pinned_) {
                releaseMemberConnection(state, *session.pinned_, now, out);
            }
            endTransaction(session);
            session.state_ = TransactionState::Failed;
        }
        answerError(session, ReplyCode::NoStatement, statement.name_, out);
        return;
    }
    if (session.state_ == TransactionState::None && !beginOperation(state, session, out)) {
        return;
    }
    runStatement(state, session, statement, now, out);
}

void rollBack(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    if (session.pinned_) {
        releaseMemberConnection(state, *session.pinned_, now, out);
    }
    endTransaction(session);
    answerDone(session, out);
}

void commit(ProxyState &state, ClientSession &session, const ClientStatement &statement, Time now, Effects &out)
{
    if (session.state_ == TransactionState::None) {
        answerError(session, ReplyCode::Malformed, "no transaction is open", out);
        return;
    }
    if (session.state_ == TransactionState::Failed) {
        endTransaction(session);
        answerError(session, ReplyCode::Aborted, "the transaction had failed and was rolled back", out);
        return;
    }
    runStatement(state, session, statement, now, out);
}

/** Handles a statement of a session that has no other in progress. */
void handleStatement(ProxyState &state, ClientSession &session, const ClientStatement &statement, Time now, Effects &out)
{
    session.lastActive_ = now;
    const bool endsTransaction = statement.kind_ == StatementKind::Commit || statement.kind_ == StatementKind::Rollback;
    if (session.state_ == TransactionState::Failed && !endsTransaction) {
        answerError(session, ReplyCode::Malformed, "the transaction has failed; only its end is taken", out);
        return;
    }
    if (session.state_ == TransactionState::Open && !keepsOrganisation(state, session)) {
        abortRevoked(state, session, statement, now, out);
        return;
    }
    switch (statement.kind_) {
    case StatementKind::Malformed:
        answerError(session, ReplyCode::Malformed, statement.text_, out);
        break;
    case StatementKind::Begin:
    case StatementKind::BeginRead:
        if (session.state_ != TransactionState::None) {
            answerError(session, ReplyCode::Malformed, "a transaction is open already", out);
        } else {
            begin(state, session, statement, now, out);
        }
        break;
    case StatementKind::Commit:
        commit(state, session, statement, now, out);
        break;
    case StatementKind::Rollback:
        rollBack(state, session, now, out);
        break;
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        runWork(state, session, statement, now, out);
        break;
    case StatementKind::Set:
        session.values_[statement.name_] = statement.value_;
        answerDone(session, out);
        break;
    case StatementKind::Prepare:
        session.prepared_[statement.name_] = PreparedStatement{statement.value_, statement.writes_};
        answerDone(session, out);
        break;
    case StatementKind::Deallocate:
        if (session.prepared_.erase(statement.name_) == 0) {
            answerError(session, ReplyCode::NoStatement, statement.name_, out);
        } else {
            answerDone(session, out);
        }
        break;
    }
}

} // namespace

void takeNextStatement(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    session.lastActive_ = now;
    // A statement that is answered at once calls this function again. It then finds no queue: otherwise, a long one would be handled by as many nested calls.
    std::deque<ClientStatement> queued = std::exchange(session.queued_, {});
    while (!session.run_ && !queued.empty()) {
        const ClientStatement statement = std::move(queued.front());
        queued.pop_front();
        handleStatement(state, session, statement, now, out);
    }
    session.queued_ = std::move(queued);
}

bool isSessionIdle(const ClientSession &session)
{
    return !session.run_ && session.queued_.empty() && session.state_ == TransactionState::None;
}

void onStatementArrived(ProxyState &state, const StatementArrived &arrived, Time now, Effects &out)
{
    ClientSession *session = findSession(state, arrived.session_);
    if (session == nullptr) {
        return;
    }
    if (session->run_ || !session->queued_.empty()) {
        session->pipelines_ = true;
        session->queued_.push_back(arrived.statement_);
        return;
    }
    handleStatement(state, *session, arrived.statement_, now, out);
}

void onSessionClosed(ProxyState &state, SessionKey key, Time now, Effects &out)
{
    state.sessions_->unaccepted_.erase(key);
    ClientSession *session = findSession(state, key);
    if (session == nullptr) {
        return;
    }
    dequeueStatement(state, *session);
    if (session->run_) {
        endForward(*state.sessions_, *session->run_);
    }
    const std::optional<ConnectionId> connection = session->run_ && session->run_->connection_ ? session->run_->connection_ : session->pinned_;
    if (connection) {
        releaseMemberConnection(state, *connection, now, out);
    }
    state.sessions_->sessions_.erase(key);
}

void onStatementDeadline(ProxyState &state, SessionKey key, Time now, Effects &out)
{
    ClientSession *session = findSession(state, key);
    if (session == nullptr || !session->run_ || now + answerMargin < session->run_->deadline_) {
        return;
    }
    const StatementRun &run = *session->run_;
    if (run.forward_) {
        finishUnconfirmed(state, *session, ReplyCode::Timeout, "the VM that runs the read did not answer in time", now, out);
        return;
    }
    if (!run.sent_) {
        if (!isAwaitingPermit(*state.sessions_, *session)) {
            recordWait(state, *session, now);
        }
        refuseStatement(state, *session, ReplyCode::Retry, retryAfterText(defaultRetryDelay, waitReason(state, *session, now)), now, out);
        return;
    }
    if (MemberState *member = findMember(state, run.member_)) {
        ++member->consecutiveTimeouts_;
    }
    if (now - run.sentAt_ >= std::min(readTimeout, (run.deadline_ - run.arrived_) / 2)) {
        countMissingReply(state, *session, run.member_, now); // A statement that was sent just before its deadline tells nothing.
    }
    if (session->state_ != TransactionState::None && run.statement_.kind_ != StatementKind::Commit) {
        finishUnconfirmed(state, *session, ReplyCode::Aborted, "a statement was not answered in time; the transaction is rolled back", now, out);
        return;
    }
    finishUnconfirmed(state, *session, changesDatabase(*session, run) ? ReplyCode::InDoubt : ReplyCode::Timeout, "not answered in time", now, out);
}

void reviewSessions(ProxyState &state, Time now, Effects &out)
{
    std::vector<SessionKey> unanswered;
    std::vector<SessionKey> idle;
    const auto review = [&](SessionKey key, const ClientSession &session) {
        if (session.run_ || session.state_ == TransactionState::Open) {
            useGroup(state, session, now);
        }
        const bool isMovableRead = state.sessions_->identity_.policies_.movesUnansweredReads_ && session.run_ && session.run_->sent_
                                   && session.state_ == TransactionState::None && !changesDatabase(session, *session.run_);
        if (isMovableRead && now - session.run_->sentAt_ > readTimeout && !session.run_->moved_) {
            unanswered.push_back(key);
        }
        if (!session.run_ && session.state_ == TransactionState::Open && session.pinned_
            && now - session.lastActive_ > state.sessions_->configuration_->transactionIdle_) {
            idle.push_back(key);
        }
    };
    for (const auto &[key, session] : state.sessions_->sessions_) {
        review(key, session);
    }
    for (const auto &[key, read] : state.sessions_->forwarding_.received_) {
        review(key, read.session_);
    }
    for (const SessionKey key : unanswered) {
        ClientSession &session = *findSession(state, key);
        const ConnectionId id = *session.run_->connection_;
        const MemberConnection *connection = findConnection(state, id);
        const MemberId member = connection == nullptr ? MemberId() : connection->member_;
        if (MemberState *unresponsiveMember = findMember(state, member)) {
            ++unresponsiveMember->consecutiveTimeouts_;
        }
        countMissingReply(state, session, member, now);
        closeMemberConnection(state, id, out);
        session.run_->moved_ = true;
        retryStatement(state, session, member, "the member did not answer", now, out);
    }
    for (const SessionKey key : idle) {
        ClientSession &session = *findSession(state, key);
        releaseMemberConnection(state, *session.pinned_, now, out);
        endTransaction(session);
        session.state_ = TransactionState::Failed;
    }
}

} // namespace Figward
