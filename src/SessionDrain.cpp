#include "SessionDrain.h"

#include "GroupLeadership.h"
#include "ProxyState.h"
#include "ReadForwarding.h"
#include "SessionLookup.h"
#include "SessionStatements.h"
#include "StatementLog.h"
#include "StatementNeeds.h"
#include "StatementOutcome.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

namespace {

/**
 * Time until the platform sends no new clients: it polls readiness once a second and acts on the second negative answer. Clients whose sessions are closed
 * earlier might be sent back to this VM.
 */
constexpr Duration unlistedDelay = std::chrono::milliseconds(2200);
/** A session that has been idle for this long is between requests. */
constexpr Duration idleTime = std::chrono::milliseconds(60);
/** A session whose client sends statements ahead is closed when none has arrived for this long after a refusal, as those under way would be lost. */
constexpr Duration refusedIdleTime = std::chrono::milliseconds(20);
/** Maximum time for which such a session is kept: its client does not heed the refusals. */
constexpr Duration refusedMaxTime = std::chrono::milliseconds(50);
/** Maximum time during shutdown that a statement waits for a member: other VMs can run it at once. */
constexpr Duration drainMaxWait = std::chrono::milliseconds(150);
/** Time for the last statements of transactions to be answered by their members. */
constexpr Duration lastAnswerTime = std::chrono::milliseconds(1000);
/** Margin before the end of the drain time, at which the process would be killed; within it, the last answers reach their clients. */
constexpr Duration endMargin = std::chrono::milliseconds(400);

void releaseAll(ProxyState &state, Time now, Effects &out)
{
    for (auto &[id, group] : state.sessions_->groups_) {
        releaseLeadership(state, group, "shutting down", now, out);
    }
}

void closeSession(SessionServiceState &sessions, SessionKey key, Effects &out)
{
    out.emplace_back(SessionEffect(CloseSession{key}));
    sessions.sessions_.erase(key);
}

/** Closes sessions that are between requests, so that their clients connect to another VM. */
void closeIdleSessions(SessionServiceState &sessions, Time now, Effects &out)
{
    std::vector<SessionKey> idle;
    for (const auto &[key, session] : sessions.sessions_) {
        if (isSessionIdle(session) && now - session.lastActive_ > idleTime) {
            idle.push_back(key);
        }
    }
    for (const SessionKey key : idle) {
        closeSession(sessions, key, out);
    }
}

/** Whether no statement that the client has already sent is expected to arrive at a session that was refused one. */
bool expectsNoMore(const ClientSession &session, Time now)
{
    return !session.pipelines_ || now - session.lastActive_ >= refusedIdleTime || now - *session.drainRefusedAt_ >= refusedMaxTime;
}

/** Refuses the current statement, which has not been sent to a member. */
void refuseNotSent(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    markRefusedByDrain(*state.sessions_, session, now);
    refuseStatement(state, session, ReplyCode::Retry, drainRefusalText(), now, out);
}

/** Refuses statements that have waited for a member for at least \p maxWait: other VMs can run them at once. */
void refuseWaiting(ProxyState &state, Duration maxWait, Time now, Effects &out)
{
    std::vector<SessionKey> waiting;
    for (const auto &[key, session] : state.sessions_->sessions_) {
        if (session.run_ && !session.run_->connection_ && !session.run_->forward_ && now - session.run_->arrived_ >= maxWait) {
            waiting.push_back(key);
        }
    }
    for (const SessionKey key : waiting) {
        refuseNotSent(state, *findSession(state, key), now, out);
    }
}

/** The same for reads of other VMs. */
void refuseWaitingReads(ProxyState &state, Duration maxWait, Time now, Effects &out)
{
    for (auto &[key, read] : state.sessions_->forwarding_.received_) {
        const std::optional<StatementRun> &run = read.session_.run_;
        if (run && !run->connection_ && now - run->arrived_ >= maxWait) {
            refuseForwardedRead(state, read.session_, now, out);
        }
    }
}

/** Logs every statement that is in progress; returns their number. */
std::size_t logUnfinishedStatements(ProxyState &state, Time now, Effects &out)
{
    std::size_t unfinished = 0;
    const auto log = [&](const ClientSession &session) {
        if (session.run_) {
            ++unfinished;
            logUnfinished(state, session, now, out);
        }
    };
    for (const auto &[key, session] : state.sessions_->sessions_) {
        log(session);
    }
    for (const auto &[key, read] : state.sessions_->forwarding_.received_) {
        log(read.session_);
    }
    return unfinished;
}

/** Answers the current statement although its member has not: its outcome is unknown if it may have changed the database, and otherwise nothing is kept. */
void answerUnfinished(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    const StatementRun &run = *session.run_;
    if (!run.sent_ && !run.forward_) {
        refuseNotSent(state, session, now, out);
        return;
    }
    markRefusedByDrain(*state.sessions_, session, now);
    const bool inTransaction = session.state_ != TransactionState::None;
    const bool isOutcomeUnknown = changesDatabase(session, run) && (!inTransaction || run.statement_.kind_ == StatementKind::Commit);
    if (isOutcomeUnknown) {
        finishUnconfirmed(state, session, ReplyCode::InDoubt, "this VM shuts down and its member has not answered", now, out);
    } else {
        finishUnconfirmed(state, session, inTransaction ? ReplyCode::Aborted : ReplyCode::Retry, drainRefusalText(), now, out);
    }
}

/** Answers all statements that are in progress, and closes all sessions. */
void finishSessions(ProxyState &state, Time now, Effects &out)
{
    std::vector<SessionKey> keys;
    for (const auto &[key, session] : state.sessions_->sessions_) {
        keys.push_back(key);
    }
    for (const SessionKey key : keys) {
        ClientSession &session = *findSession(state, key);
        if (session.run_) {
            answerUnfinished(state, session, now, out);
        }
        closeSession(*state.sessions_, key, out);
    }
    for (auto &[key, read] : state.sessions_->forwarding_.received_) {
        if (read.session_.run_) {
            refuseForwardedRead(state, read.session_, now, out); // The VM of the client runs it itself.
        }
    }
}

void exitProcess(ProxyState &state, Duration since, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    const std::size_t left = sessions.sessions_.size();
    const std::size_t unfinished = logUnfinishedStatements(state, now, out);
    finishSessions(state, now, out);
    sessions.exiting_ = true;
    out.emplace_back(WriteLog{LogNumber::ProcessStopped,
                              {{"sessions", absl::StrCat(left)}, {"unfinished", absl::StrCat(unfinished)}, {"after_drain_ms", absl::StrCat(toMillis(since))}}});
    out.emplace_back(ExitProcess{});
}

} // namespace

void startSessionDrain(ProxyState &state, Time now, Effects &out)
{
    if (state.sessions_->drainSince_) {
        return;
    }
    state.sessions_->drainSince_ = now;
    state.sessions_->heartbeatNow_ = true;
    out.emplace_back(WriteLog{LogNumber::DrainStarted, {{"sessions", absl::StrCat(state.sessions_->sessions_.size())}}});
    releaseAll(state, now, out);
}

DrainSchedule drainSchedule(Duration drainTime)
{
    DrainSchedule schedule;
    schedule.operationsEnd_ = drainTime / 2;
    schedule.sessionsClose_ = std::min(unlistedDelay, schedule.operationsEnd_);
    schedule.exit_ = std::max(schedule.operationsEnd_, drainTime - endMargin);
    schedule.transactionsEnd_ = std::max(schedule.operationsEnd_, schedule.exit_ - lastAnswerTime);
    return schedule;
}

void reviewSessionDrain(ProxyState &state, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    if (sessions.cutOff_ && now - sessions.cutOff_->since_ > unlistedDelay) {
        closeIdleSessions(sessions, now, out);
    }
    if (!sessions.drainSince_ || sessions.exiting_) {
        return;
    }
    releaseAll(state, now, out);
    const DrainSchedule schedule = drainSchedule(sessions.identity_.drainTime_);
    const Duration since = now - *sessions.drainSince_;
    if (since < schedule.sessionsClose_) {
        return;
    }
    const Duration maxWait = since < schedule.transactionsEnd_ ? drainMaxWait : Duration(0);
    refuseWaiting(state, maxWait, now, out);
    refuseWaitingReads(state, maxWait, now, out);
    closeIdleSessions(sessions, now, out);
    const bool isIdle = sessions.sessions_.empty() && !runsForwardedReads(sessions);
    if (isIdle || since >= schedule.exit_) {
        exitProcess(state, since, now, out);
    }
}

bool refusesOperations(const SessionServiceState &sessions, Time now)
{
    return sessions.drainSince_ && now - *sessions.drainSince_ >= drainSchedule(sessions.identity_.drainTime_).operationsEnd_;
}

bool refuseIfDraining(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    const SessionServiceState &sessions = *state.sessions_;
    if (!refusesOperations(sessions, now)) {
        return false;
    }
    const bool continues = session.pinned_ && now - *sessions.drainSince_ < drainSchedule(sessions.identity_.drainTime_).transactionsEnd_;
    if (!continues) {
        refuseNotSent(state, session, now, out);
    }
    return !continues;
}

void markRefusedByDrain(SessionServiceState &sessions, ClientSession &session, Time now)
{
    if (!session.sender_ && !session.drainRefusedAt_) {
        session.drainRefusedAt_ = now;
        sessions.refusedByDrain_.insert(session.key_);
    }
}

void closeRefusedSessions(SessionServiceState &sessions, Time now, Effects &out)
{
    std::erase_if(sessions.refusedByDrain_, [&](SessionKey key) {
        const auto session = sessions.sessions_.find(key);
        if (session == sessions.sessions_.end()) {
            return true;
        }
        const bool closes = isSessionIdle(session->second) && expectsNoMore(session->second, now);
        if (closes) {
            closeSession(sessions, key, out);
        }
        return closes;
    });
}

std::string drainRefusalText()
{
    return retryAfterText(Duration(0), "this VM shuts down; another one takes new sessions");
}

} // namespace Figward
