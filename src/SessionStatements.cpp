#include "SessionStatements.h"

#include "MemberConnections.h"
#include "ProxyState.h"
#include "SessionService.h"
#include "StatementPlacement.h"
#include "StatementSteps.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

namespace {

/** A statement is tried at most this often; more only add load where members are in trouble already. */
constexpr unsigned maxTries = 6;
/** Pause before a statement that was refused goes to the same member again: a full member frees a slot every few milliseconds. */
constexpr Duration retryPause = std::chrono::milliseconds(25);
/** A refusal tells the client to come back after this: about as long as a primary's replacement takes when all VMs reach each other. */
constexpr Duration comeBackAfter = std::chrono::milliseconds(400);
/** The answer is given this much before the statement's deadline, so that it reaches the client by then. */
constexpr Duration answerMargin = std::chrono::milliseconds(20);
/** A read whose member is silent for this long runs at another member: several times the longest work seen. */
constexpr Duration readSilence = std::chrono::milliseconds(450);
/** A member that refused a read as lagging is passed over for this long for positions as high. */
constexpr Duration laggingPause = std::chrono::milliseconds(150);
/** A statement slower than this is logged. */
constexpr Duration slowStatement = std::chrono::milliseconds(500);

ClientSession *findSession(ProxyState &state, SessionKey key)
{
    const auto found = state.sessions_->sessions_.find(key);
    return found == state.sessions_->sessions_.end() ? nullptr : &found->second;
}

void logStatement(const ClientSession &session,
                  const StatementRun &run,
                  LogNumber number,
                  std::string_view outcome,
                  std::string_view reason,
                  Time now,
                  Effects &out)
{
    out.emplace_back(WriteLog{number,
                              {{"id", run.statement_.id_},
                               {"session", absl::StrCat(session.key_.value())},
                               {"database", session.database_},
                               {"outcome", std::string(outcome)},
                               {"reason", std::string(reason)},
                               {"tries", absl::StrCat(run.tries_)},
                               {"ms", absl::StrCat(toMillis(now - run.arrived_))}}});
}

void answer(const ClientSession &session, SessionReply reply, Effects &out)
{
    reply.state_ = session.state_;
    reply.position_.reset();
    out.emplace_back(SessionEffect(AnswerSession{session.key_, std::move(reply)}));
}

void answerDone(const ClientSession &session, Effects &out)
{
    SessionReply reply;
    reply.receipt_ = "-";
    answer(session, std::move(reply), out);
}

void answerError(const ClientSession &session, ReplyCode code, std::string text, Effects &out)
{
    SessionReply reply;
    reply.code_ = code;
    reply.text_ = std::move(text);
    answer(session, std::move(reply), out);
}

std::string comeBack(const std::string &reason)
{
    return absl::StrCat("come back in ", toMillis(comeBackAfter), " ms: ", reason);
}

void endTransaction(ClientSession &session)
{
    session.state_ = TransactionState::None;
    session.pinned_.reset();
    session.wrote_ = false;
    session.readOnly_ = false;
}

void leaveWaiting(ProxyState &state, const ClientSession &session)
{
    if (SessionGroup *group = findGroup(state, session.route_.service_)) {
        std::erase(group->waiting_, session.key_);
    }
}

void wait(ProxyState &state, ClientSession &session)
{
    SessionGroup *group = findGroup(state, session.route_.service_);
    if (group == nullptr) {
        group = &state.sessions_->groups_[session.route_.service_];
        group->id_ = session.route_.service_;
    }
    const auto before = [&](SessionKey key) {
        const ClientSession *other = findSession(state, key);
        return other != nullptr && std::pair(other->route_.priority_, other->run_->deadline_) <= std::pair(session.route_.priority_, session.run_->deadline_);
    };
    const auto place = std::ranges::find_if_not(group->waiting_, before);
    group->waiting_.insert(place, session.key_);
}

bool isWrite(const ClientSession &session, const ClientStatement &statement)
{
    if (statement.kind_ == StatementKind::Execute) {
        const auto found = session.prepared_.find(statement.name_);
        return found != session.prepared_.end() && found->second.writes_;
    }
    return statement.kind_ == StatementKind::Write;
}

/** Whether the answer may change the database, so that a missing one leaves it open whether it did. */
bool changesDatabase(const ClientSession &session, const StatementRun &run)
{
    if (session.state_ == TransactionState::None) {
        return isWrite(session, run.statement_);
    }
    return run.statement_.kind_ == StatementKind::Commit && session.wrote_;
}

bool needsPrimary(const ClientSession &session, const StatementRun &run)
{
    if (session.state_ == TransactionState::None) {
        return session.route_.consistency_ == Consistency::Primary || isWrite(session, run.statement_);
    }
    return session.route_.consistency_ == Consistency::Primary || !session.readOnly_;
}

/** What a read of the session must include; nothing if that cannot be told, and then only the primary will do. */
std::optional<LogPoint> readFloor(const ClientSession &session, const SessionGroup &group, Time now)
{
    std::optional<LogPoint> floor = floorFor(group.samples_, session.route_.maxStaleness_, now);
    if (floor && session.lastCommit_) {
        floor = std::max(*floor, *session.lastCommit_);
    }
    return floor;
}

void nextStatement(ProxyState &state, ClientSession &session, Time now, Effects &out);

/** Ends the statement with \p reply; the session's state has been set. */
void finish(ProxyState &state, ClientSession &session, SessionReply reply, Time now, Effects &out)
{
    const StatementRun run = *std::exchange(session.run_, std::nullopt);
    const bool plain = reply.code_ == ReplyCode::None;
    if (!plain || now - run.arrived_ > slowStatement || run.tries_ > 1) {
        const LogNumber number =
            plain ? LogNumber::StatementSlow : (reply.code_ == ReplyCode::InDoubt ? LogNumber::StatementInDoubt : LogNumber::StatementRefused);
        logStatement(session, run, number, toString(reply.code_), reply.text_, now, out);
    }
    answer(session, std::move(reply), out);
    nextStatement(state, session, now, out);
}

/** The statement did not run; the client is told so. Within a transaction, all of it is given up. */
void refuse(ProxyState &state, ClientSession &session, ReplyCode code, std::string text, Time now, Effects &out)
{
    StatementRun &run = *session.run_;
    if (!run.connection_) {
        leaveWaiting(state, session);
    }
    const std::optional<ConnectionId> connection = run.connection_ ? run.connection_ : session.pinned_;
    if (session.state_ == TransactionState::None) {
        if (connection) {
            releaseMemberConnection(state, *connection, now, out);
        }
    } else {
        if (connection) {
            releaseMemberConnection(state, *connection, now, out);
        }
        const bool ends = run.statement_.kind_ == StatementKind::Commit;
        endTransaction(session);
        session.state_ = ends ? TransactionState::None : TransactionState::Failed;
        code = code == ReplyCode::Retry ? ReplyCode::Aborted : code;
    }
    SessionReply reply;
    reply.code_ = code;
    reply.text_ = std::move(text);
    finish(state, session, std::move(reply), now, out);
}

/** It is not known whether the statement ran, or it did and the client must not rely on it. */
void leaveOpen(ProxyState &state, ClientSession &session, ReplyCode code, std::string text, Time now, Effects &out)
{
    const std::optional<ConnectionId> connection = session.run_->connection_;
    if (connection && findConnection(state, *connection) != nullptr) {
        closeMemberConnection(state, *connection, out);
    }
    const bool inTransaction = session.state_ != TransactionState::None;
    const bool ends = session.run_->statement_.kind_ == StatementKind::Commit;
    endTransaction(session);
    session.state_ = inTransaction && !ends ? TransactionState::Failed : TransactionState::None;
    SessionReply reply;
    reply.code_ = code;
    reply.text_ = std::move(text);
    finish(state, session, std::move(reply), now, out);
}

/** Nothing of the operation has run yet that cannot run again: give it another member. */
void tryAgain(ProxyState &state, ClientSession &session, const MemberId &avoided, const std::string &reason, Time now, Effects &out)
{
    StatementRun &run = *session.run_;
    run.connection_.reset();
    session.pinned_.reset();
    run.sent_ = false;
    run.avoided_.insert(avoided);
    run.notBefore_ = now + retryPause;
    if (run.tries_ >= maxTries || run.notBefore_ + answerMargin >= run.deadline_) {
        wait(state, session);
        refuse(state, session, ReplyCode::Retry, comeBack(reason), now, out);
        return;
    }
    wait(state, session);
}

/** Whether the present statement may be run again from its beginning. */
bool mayRunAgain(const ClientSession &session)
{
    const StatementRun &run = *session.run_;
    if (session.state_ == TransactionState::None) {
        return !run.sent_ || !changesDatabase(session, run);
    }
    return run.first_ && !run.sent_;
}

/**
 * A member that leaves ends some seconds after it said so, and what still runs there is cut. Replicas get nothing new at once, since others can do their work;
 * a primary does until it is replaced, which takes about a second, and in any case not for longer than a few.
 */
bool takesNewWork(const MemberState &member, bool primary, Time now)
{
    constexpr Duration lastWork = std::chrono::milliseconds(3000);
    return !member.leavingSince_ || (primary && now - *member.leavingSince_ < lastWork);
}

std::vector<PlacementOption> placementOptions(ProxyState &state, const ClientSession &session, const SessionGroup &group, Time now)
{
    const StatementRun &run = *session.run_;
    const bool primaryOnly = needsPrimary(session, run);
    const std::optional<LogPoint> floor = readFloor(session, group, now);
    const bool authority = holdsAuthority(group.authority_, now);
    const auto limits = state.sessions_->configuration_->services_.find(group.id_);
    const unsigned limit = limits == state.sessions_->configuration_->services_.end() ? 0 : limits->second.maxConnections_;
    const unsigned share = connectionShare(limit, countEntryVms(state, now));
    std::vector<PlacementOption> options;
    for (const MemberId &id : group.members_) {
        MemberState *member = findMember(state, id);
        const bool primary = authority && group.authority_.primary_ == id;
        if (member == nullptr || (!primary && (primaryOnly || !floor)) || !takesNewWork(*member, primary, now)) {
            continue;
        }
        if (!primary && run.avoided_.contains(id)) {
            continue;
        }
        PlacementOption option{.member_ = id};
        option.busy_ = static_cast<unsigned>(member->connections_.size() - member->idle_.size());
        option.sameZone_ = member->entry_.zone_ == state.sessions_->identity_.vm_.zone_;
        option.leaving_ = member->entry_.leaving_;
        option.primary_ = primary;
        option.lagging_ = !primary && member->laggedBehind_ && floor && *floor >= *member->laggedBehind_ && now - member->laggedAt_ < laggingPause;
        option.suspect_ = member->silent_ > 0 || member->openFailures_ > 0;
        option.idleConnection_ = !member->idle_.empty();
        option.mayOpen_ = member->connections_.size() < connectionsAllowed(share, now - run.arrived_) && now >= member->openAfter_;
        options.push_back(option);
    }
    return options;
}

/** Takes the idle connection whose values fit the session best. */
ConnectionId takeIdle(ProxyState &state, MemberState &member, const ClientSession &session)
{
    const auto fits = [&](ConnectionId id) { return findConnection(state, id)->values_ == session.values_; };
    auto best = std::ranges::find_if(member.idle_.rbegin(), member.idle_.rend(), fits);
    if (best == member.idle_.rend()) {
        best = member.idle_.rbegin();
    }
    const ConnectionId id = *best;
    member.idle_.erase(std::next(best).base());
    return id;
}

void startOn(ProxyState &state, ClientSession &session, MemberConnection &connection, Time now, Effects &out)
{
    StatementRun &run = *session.run_;
    SessionGroup &group = *findGroup(state, session.route_.service_);
    const bool authority = holdsAuthority(group.authority_, connection.member_, now);
    connection.use_ = MemberConnectionUse::Statement;
    connection.session_ = session.key_;
    run.connection_ = connection.id_;
    run.usesPrimary_ = authority;
    run.after_ = authority ? std::nullopt : readFloor(session, group, now);
    ++run.tries_;
    if (session.state_ != TransactionState::None) {
        session.pinned_ = connection.id_;
    }
    connection.steps_ = stepsFor(session, connection);
    sendNextStep(state, connection, now, out);
}

bool placeOne(ProxyState &state, SessionGroup &group, ClientSession &session, Time now, Effects &out)
{
    if (now < session.run_->notBefore_) {
        return false;
    }
    const std::vector<PlacementOption> options = placementOptions(state, session, group, now);
    const Placement placement = placeStatement(options);
    if (placement.open_) {
        MemberState &member = *findMember(state, *placement.open_);
        const bool opens =
            std::ranges::any_of(member.connections_, [&](ConnectionId id) { return findConnection(state, id)->use_ == MemberConnectionUse::Opening; });
        if (!opens) {
            openMemberConnection(state, member, false, now, out);
        }
    }
    if (!placement.run_) {
        return false;
    }
    MemberState &member = *findMember(state, *placement.run_);
    std::erase(group.waiting_, session.key_);
    startOn(state, session, *findConnection(state, takeIdle(state, member, session)), now, out);
    return true;
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
    if (!session.pinned_) {
        session.run_->first_ = true;
        wait(state, session);
        return;
    }
    MemberConnection *connection = findConnection(state, *session.pinned_);
    if (connection == nullptr) {
        refuse(state, session, ReplyCode::Aborted, "the connection of the transaction was lost", now, out);
        return;
    }
    session.run_->connection_ = connection->id_;
    // What a transaction reads was settled when it began; only its writes still depend on who is the primary.
    session.run_->usesPrimary_ = changesDatabase(session, *session.run_);
    session.run_->tries_ = 1;
    connection->steps_ = stepsFor(session, *connection);
    sendNextStep(state, *connection, now, out);
}

/** The route of the session's database, if the configuration in force has one. */
const DatabaseRoute *findRoute(const ProxyState &state, const std::string &database)
{
    const auto found = state.sessions_->configuration_->databases_.find(database);
    return found == state.sessions_->configuration_->databases_.end() ? nullptr : &found->second;
}

void begin(ProxyState &state, ClientSession &session, const ClientStatement &statement, Effects &out)
{
    const DatabaseRoute *route = findRoute(state, session.database_);
    if (route == nullptr) {
        answerError(session, ReplyCode::NoDatabase, session.database_, out);
        return;
    }
    session.route_ = *route;
    session.state_ = TransactionState::Open;
    session.beginId_ = statement.id_;
    session.readOnly_ = statement.kind_ == StatementKind::BeginRead;
    session.wrote_ = false;
    answerDone(session, out);
}

/** Runs a read or a write, in a transaction or by itself. */
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
    if (session.state_ == TransactionState::None) {
        const DatabaseRoute *route = findRoute(state, session.database_);
        if (route == nullptr) {
            answerError(session, ReplyCode::NoDatabase, session.database_, out);
            return;
        }
        session.route_ = *route;
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

/** Takes a statement of a session that has none under way. */
void take(ProxyState &state, ClientSession &session, const ClientStatement &statement, Time now, Effects &out)
{
    session.lastActive_ = now;
    const bool endsTransaction = statement.kind_ == StatementKind::Commit || statement.kind_ == StatementKind::Rollback;
    if (session.state_ == TransactionState::Failed && !endsTransaction) {
        answerError(session, ReplyCode::Malformed, "the transaction has failed; only its end is taken", out);
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
            begin(state, session, statement, out);
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

void nextStatement(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    session.lastActive_ = now;
    while (!session.run_ && !session.queued_.empty()) {
        const ClientStatement statement = std::move(session.queued_.front());
        session.queued_.pop_front();
        take(state, session, statement, now, out);
    }
}

/** Takes the answer of the statement itself as good. */
void completeStatement(ProxyState &state, ClientSession &session, MemberConnection &connection, const SessionReply &reply, Time now, Effects &out)
{
    const StatementRun &run = *session.run_;
    const SessionGroup &group = *findGroup(state, session.route_.service_);
    const bool counts = !run.usesPrimary_ || holdsAuthority(group.authority_, connection.member_, now);
    const bool changed = changesDatabase(session, run);
    const bool harmless = session.state_ == TransactionState::Open && !changed;
    if (!counts && changed) {
        // It ran at a member that may have been replaced meanwhile: the new primary may lack it.
        leaveOpen(state, session, ReplyCode::InDoubt, "the primary may have been replaced while it ran", now, out);
        return;
    }
    if (!counts && !harmless) {
        releaseMemberConnection(state, connection.id_, now, out);
        tryAgain(state, session, MemberId(), "the primary may have been replaced while it ran", now, out);
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
    finish(state, session, reply, now, out);
}

/** A read was refused because the log lacks a position. */
void noteLagging(ProxyState &state, ClientSession &session, const MemberConnection &connection, Time now)
{
    MemberState *member = findMember(state, connection.member_);
    if (member != nullptr && session.run_->after_) {
        member->laggedAt_ = now;
        member->laggedBehind_ = session.run_->after_;
    }
}

/** A member refused the statement, or what prepares its connection. */
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
        noteLagging(state, session, connection, now);
    }
    const bool prepares = !isStatement(request);
    if (prepares && !promisesNotRun(reply.code_)) {
        // The state of the connection is not what the session needs, and may be anything.
        closeMemberConnection(state, connection.id_, out);
        if (mayRunAgain(session)) {
            tryAgain(state, session, member, toString(reply.code_), now, out);
        } else {
            refuse(state, session, ReplyCode::Aborted, absl::StrCat("could not prepare the connection: ", toString(reply.code_)), now, out);
        }
        return;
    }
    if (promisesNotRun(reply.code_)) {
        session.run_->sent_ = false; // It did not run, says the member.
        if (mayRunAgain(session)) {
            releaseMemberConnection(state, connection.id_, now, out);
            tryAgain(state, session, member, toString(reply.code_), now, out);
        } else {
            refuse(state, session, ReplyCode::Aborted, absl::StrCat("refused by the member: ", toString(reply.code_)), now, out);
        }
        return;
    }
    // It ran and failed.
    const bool inTransaction = session.state_ != TransactionState::None;
    const bool ends = session.run_->statement_.kind_ == StatementKind::Commit;
    releaseMemberConnection(state, connection.id_, now, out);
    endTransaction(session);
    session.state_ = inTransaction && !ends ? TransactionState::Failed : TransactionState::None;
    finish(state, session, reply, now, out);
}

} // namespace

bool isAtRest(const ClientSession &session)
{
    return !session.run_ && session.queued_.empty() && session.state_ == TransactionState::None;
}

void onSessionOpened(ProxyState &state, const SessionOpened &opened, Time now, Effects &out)
{
    ClientSession session;
    session.key_ = opened.session_;
    session.database_ = opened.database_;
    session.lastActive_ = now;
    state.sessions_->sessions_.insert_or_assign(opened.session_, std::move(session));
    acceptWaitingSessions(state, now, out);
}

void acceptWaitingSessions(ProxyState &state, Time /*now*/, Effects &out)
{
    if (!state.sessions_->configuration_) {
        return;
    }
    std::vector<SessionKey> refused;
    for (auto &[key, session] : state.sessions_->sessions_) {
        if (session.accepted_) {
            continue;
        }
        if (findRoute(state, session.database_) == nullptr) {
            refused.push_back(key);
            continue;
        }
        session.accepted_ = true;
        out.emplace_back(SessionEffect(AcceptSession{key}));
    }
    for (const SessionKey key : refused) {
        out.emplace_back(SessionEffect(RefuseSession{key, ReplyCode::NoDatabase, state.sessions_->sessions_.at(key).database_}));
        state.sessions_->sessions_.erase(key);
    }
}

void onStatementArrived(ProxyState &state, const StatementArrived &arrived, Time now, Effects &out)
{
    ClientSession *session = findSession(state, arrived.session_);
    if (session == nullptr) {
        return;
    }
    if (session->run_ || !session->queued_.empty()) {
        session->queued_.push_back(arrived.statement_);
        return;
    }
    take(state, *session, arrived.statement_, now, out);
}

void onSessionClosed(ProxyState &state, SessionKey key, Time now, Effects &out)
{
    ClientSession *session = findSession(state, key);
    if (session == nullptr) {
        return;
    }
    leaveWaiting(state, *session);
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
    if (!run.sent_) {
        refuse(state, *session, ReplyCode::Retry, comeBack("no member could run it in time"), now, out);
        return;
    }
    if (session->state_ != TransactionState::None && run.statement_.kind_ != StatementKind::Commit) {
        leaveOpen(state, *session, ReplyCode::Aborted, "a statement was not answered in time; the transaction is rolled back", now, out);
        return;
    }
    leaveOpen(state, *session, changesDatabase(*session, run) ? ReplyCode::InDoubt : ReplyCode::Timeout, "not answered in time", now, out);
}

void dispatchStatements(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    const std::vector<SessionKey> waiting = group.waiting_;
    for (const SessionKey key : waiting) {
        ClientSession *session = findSession(state, key);
        if (session != nullptr && session->run_ && !session->run_->connection_) {
            placeOne(state, group, *session, now, out);
        }
    }
}

void onStepAnswered(ProxyState &state, MemberConnection &connection, const MemberRequest &request, const SessionReply &reply, Time now, Effects &out)
{
    ClientSession *session = connection.session_ ? findSession(state, *connection.session_) : nullptr;
    if (session == nullptr || !session->run_) {
        releaseMemberConnection(state, connection.id_, now, out);
        return;
    }
    if (reply.code_ != ReplyCode::None) {
        onRefusal(state, *session, connection, request, reply, now, out);
    } else if (!isStatement(request)) {
        sendNextStep(state, connection, now, out);
    } else {
        completeStatement(state, *session, connection, reply, now, out);
    }
}

void onSessionConnectionLost(ProxyState &state,
                             SessionKey key,
                             const std::optional<MemberRequest> & /*request*/,
                             const MemberId &member,
                             Time now,
                             Effects &out)
{
    ClientSession *session = findSession(state, key);
    if (session == nullptr) {
        return;
    }
    if (!session->run_) {
        // It rested inside a transaction: the member rolls back, and the next statement is told.
        endTransaction(*session);
        session->state_ = TransactionState::Failed;
        return;
    }
    StatementRun &run = *session->run_;
    if (mayRunAgain(*session)) {
        tryAgain(state, *session, member, "the connection to the member was lost", now, out);
        return;
    }
    run.connection_.reset();
    session->pinned_.reset();
    if (changesDatabase(*session, run)) {
        leaveOpen(state, *session, ReplyCode::InDoubt, "the connection to the member was lost before its answer", now, out);
    } else {
        // Its commit was never sent, or there is nothing to commit.
        leaveOpen(state, *session, ReplyCode::Aborted, "the connection of the transaction was lost", now, out);
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
            run.sent_ = true;
            run.sentAt_ = now;
        }
        return true;
    }
    const MemberId member = connection.member_;
    if (mayRunAgain(*session)) {
        releaseMemberConnection(state, connection.id_, now, out);
        tryAgain(state, *session, member, "the primary is being replaced", now, out);
    } else {
        refuse(state, *session, ReplyCode::Aborted, "the primary is being replaced", now, out);
    }
    return false;
}

void reviewSessions(ProxyState &state, Time now, Effects &out)
{
    std::vector<SessionKey> silent;
    std::vector<SessionKey> resting;
    for (const auto &[key, session] : state.sessions_->sessions_) {
        const bool readAlone = session.run_ && session.run_->sent_ && session.state_ == TransactionState::None && !changesDatabase(session, *session.run_);
        if (readAlone && now - session.run_->sentAt_ > readSilence && !session.run_->moved_) {
            silent.push_back(key);
        }
        if (!session.run_ && session.state_ == TransactionState::Open && session.pinned_
            && now - session.lastActive_ > state.sessions_->configuration_->transactionIdle_) {
            resting.push_back(key);
        }
    }
    for (const SessionKey key : silent) {
        ClientSession &session = *findSession(state, key);
        const ConnectionId id = *session.run_->connection_;
        const MemberConnection *connection = findConnection(state, id);
        const MemberId member = connection == nullptr ? MemberId() : connection->member_;
        if (MemberState *silentMember = findMember(state, member)) {
            ++silentMember->silent_;
        }
        closeMemberConnection(state, id, out);
        session.run_->moved_ = true;
        tryAgain(state, session, member, "the member did not answer", now, out);
    }
    for (const SessionKey key : resting) {
        ClientSession &session = *findSession(state, key);
        releaseMemberConnection(state, *session.pinned_, now, out);
        endTransaction(session);
        session.state_ = TransactionState::Failed;
    }
}

} // namespace Figward
