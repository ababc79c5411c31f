#include "StatementOutcome.h"

#include "LoadShedding.h"
#include "MemberConnections.h"
#include "OrganisationQuota.h"
#include "ProxyState.h"
#include "ReadForwarding.h"
#include "SessionLookup.h"
#include "SessionStatements.h"
#include "StatementLog.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

namespace {

/** Maximum number of attempts of a statement; more would only add load to members that already have problems. */
constexpr unsigned maxAttempts = 6;

/** Delay before a refused statement is retried: a full member frees a slot every few milliseconds. */
constexpr Duration retryDelay = std::chrono::milliseconds(25);

void sendReply(const ClientSession &session, SessionReply reply, Effects &out)
{
    reply.state_ = session.state_;
    reply.position_.reset();
    out.emplace_back(SessionEffect(AnswerSession{session.key_, std::move(reply)}));
}

/**
 * Weight, in operations per second, of an organisation without a configured rate and of clients without a key: that of a large organisation, since an operator
 * sets no rate for those that must not be limited.
 */
constexpr double unlimitedWeight = 100;

double weightOf(const Organisations &organisations, const OrganisationId &organisation)
{
    const auto limits = organisations.limits_.find(organisation);
    return limits == organisations.limits_.end() || limits->second.perSecond_ <= 0 ? unlimitedWeight : limits->second.perSecond_;
}

/** Whether any member of the group has an idle connection of the organisation. */
bool hasIdleConnection(ProxyState &state, const SessionGroup &group, const OrganisationId &organisation)
{
    return std::ranges::any_of(group.members_, [&](const MemberId &id) {
        const MemberState *member = findMember(state, id);
        return member != nullptr && !idleOf(member->idle_, organisation).empty();
    });
}

bool sharesByOrganisation(const SessionServiceState &sessions)
{
    return sessions.identity_.policies_.sharesFairly_ && sessions.configuration_ && sessions.configuration_->organisations_;
}

/** The statement as it is queued; \p opens states whether a connection must be opened for it. */
QueuedStatement queuedStatement(const SessionServiceState &sessions, const SessionGroup &group, const ClientSession &session, bool opens)
{
    QueuedStatement statement{.key_ = session.key_, .priority_ = session.route_.priority_, .deadline_ = session.run_->deadline_};
    if (sharesByOrganisation(sessions)) {
        statement.organisation_ = session.organisation_;
        statement.weight_ = weightOf(*sessions.configuration_->organisations_, session.organisation_);
        statement.cost_ = expectedCost(group.costs_, session.database_, opens);
    }
    return statement;
}

} // namespace

void answerDone(const ClientSession &session, Effects &out)
{
    SessionReply reply;
    reply.receipt_ = "-";
    sendReply(session, std::move(reply), out);
}

void answerError(const ClientSession &session, ReplyCode code, std::string text, Effects &out)
{
    SessionReply reply;
    reply.code_ = code;
    reply.text_ = std::move(text);
    sendReply(session, std::move(reply), out);
}

std::string retryAfterText(Duration delay, const std::string &reason)
{
    return absl::StrCat("come back in ", toMillis(delay), " ms: ", reason);
}

void endTransaction(ClientSession &session)
{
    session.state_ = TransactionState::None;
    session.pinned_.reset();
    session.wrote_ = false;
    session.readOnly_ = false;
}

void dequeueStatement(ProxyState &state, const ClientSession &session)
{
    cancelAdmission(*state.sessions_, session);
    if (SessionGroup *group = findGroup(state, session.route_.service_)) {
        removeStatement(group->waiting_, session.key_);
    }
}

void chargeTransactionStatement(ProxyState &state, const ClientSession &session)
{
    SessionGroup *group = findGroup(state, session.route_.service_);
    if (group != nullptr && sharesByOrganisation(*state.sessions_)) {
        chargeStatement(group->waiting_, queuedStatement(*state.sessions_, *group, session, false));
    }
}

void enqueueStatement(ProxyState &state, ClientSession &session)
{
    SessionGroup *group = findGroup(state, session.route_.service_);
    if (group == nullptr) {
        group = &state.sessions_->groups_[session.route_.service_];
        group->id_ = session.route_.service_;
    }
    state.sessions_->trackedGroups_.insert(group->id_);
    const bool opens = sharesByOrganisation(*state.sessions_) && !hasIdleConnection(state, *group, session.organisation_);
    addStatement(group->waiting_, queuedStatement(*state.sessions_, *group, session, opens));
}

void finishStatement(ProxyState &state, ClientSession &session, SessionReply reply, Time now, Effects &out)
{
    const StatementRun run = *std::exchange(session.run_, std::nullopt);
    logOutcome(state, session, run, reply, now, out);
    endForward(*state.sessions_, run);
    if (session.sender_) {
        answerForwardedRead(state, session, std::move(reply), now, out);
        return;
    }
    sendReply(session, std::move(reply), out);
    takeNextStatement(state, session, now, out);
}

void refuseStatement(ProxyState &state, ClientSession &session, ReplyCode code, std::string text, Time now, Effects &out)
{
    StatementRun &run = *session.run_;
    if (!run.connection_) {
        dequeueStatement(state, session);
    }
    if (const std::optional<ConnectionId> connection = run.connection_ ? run.connection_ : session.pinned_) {
        releaseMemberConnection(state, *connection, now, out);
    }
    if (session.state_ != TransactionState::None) {
        const bool ends = run.statement_.kind_ == StatementKind::Commit;
        endTransaction(session);
        session.state_ = ends ? TransactionState::None : TransactionState::Failed;
        code = code == ReplyCode::Retry ? ReplyCode::Aborted : code;
    }
    SessionReply reply;
    reply.code_ = code;
    reply.text_ = std::move(text);
    finishStatement(state, session, std::move(reply), now, out);
}

void finishUnconfirmed(ProxyState &state, ClientSession &session, ReplyCode code, std::string text, Time now, Effects &out)
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
    finishStatement(state, session, std::move(reply), now, out);
}

void retryStatement(ProxyState &state, ClientSession &session, const MemberId &avoided, const std::string &reason, Time now, Effects &out)
{
    StatementRun &run = *session.run_;
    run.connection_.reset();
    session.pinned_.reset();
    run.sent_ = false;
    run.excludedMembers_.insert(avoided);
    run.notBefore_ = now + retryDelay;
    if (run.attempts_ >= maxAttempts || run.notBefore_ + answerMargin >= run.deadline_) {
        recordWait(state, session, now);
        refuseStatement(state, session, ReplyCode::Retry, retryAfterText(defaultRetryDelay, reason), now, out);
        return;
    }
    logRetry(state, session, reason, now, out);
    enqueueStatement(state, session);
}

} // namespace Figward
