#include "StatementOutcome.h"

#include "LoadShedding.h"
#include "MemberConnections.h"
#include "OrganisationQuota.h"
#include "ProxyState.h"
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
        std::erase(group->waiting_, session.key_);
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
    const auto before = [&](SessionKey key) {
        const ClientSession *other = findSession(state, key);
        return other != nullptr && std::pair(other->route_.priority_, other->run_->deadline_) <= std::pair(session.route_.priority_, session.run_->deadline_);
    };
    const auto place = std::ranges::find_if_not(group->waiting_, before);
    group->waiting_.insert(place, session.key_);
}

void finishStatement(ProxyState &state, ClientSession &session, SessionReply reply, Time now, Effects &out)
{
    const StatementRun run = *std::exchange(session.run_, std::nullopt);
    logOutcome(state, session, run, reply, now, out);
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
