#include "SessionDrain.h"

#include "GroupLeadership.h"
#include "ProxyState.h"
#include "ReadForwarding.h"
#include "SessionLookup.h"
#include "SessionStatements.h"
#include "StatementLog.h"
#include "StatementOutcome.h"

#include <absl/strings/str_cat.h>

namespace Figward {

namespace {

/**
 * Time until the platform sends no new clients: it polls readiness once a second and acts on the second negative answer. Clients whose sessions are closed
 * earlier might be sent back to this VM.
 */
constexpr Duration unlistedDelay = std::chrono::milliseconds(2200);
/** A session that has been idle for this long is between requests. */
constexpr Duration idleTime = std::chrono::milliseconds(60);
/** Maximum time during shutdown that a statement waits for a member: other VMs can run it at once. */
constexpr Duration drainMaxWait = std::chrono::milliseconds(150);
/** During this last part of the drain time, statements without a member are refused at once; those running at a member have this long to be answered. */
constexpr Duration refuseAllTime = std::chrono::milliseconds(1000);
/** Margin before the end of the drain time, at which the process would be killed. */
constexpr Duration endMargin = std::chrono::milliseconds(400);

void releaseAll(ProxyState &state, Time now, Effects &out)
{
    for (auto &[id, group] : state.sessions_->groups_) {
        releaseLeadership(state, group, "shutting down", now, out);
    }
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
        out.emplace_back(SessionEffect(CloseSession{key}));
        sessions.sessions_.erase(key);
    }
}

/**
 * Refuses statements that have waited for a member for at least \p maxWait, since the process is about to end. Otherwise the connection of a client that keeps
 * using it would be closed without an answer to its last statement: one that arrives 0.9 s before the end could still be waiting for a member connection when
 * the process ends.
 */
void refuseWaiting(ProxyState &state, Duration maxWait, Time now, Effects &out)
{
    std::vector<SessionKey> waiting;
    for (const auto &[key, session] : state.sessions_->sessions_) {
        if (session.run_ && !session.run_->connection_ && !session.run_->forward_ && now - session.run_->arrived_ >= maxWait) {
            waiting.push_back(key);
        }
    }
    for (const SessionKey key : waiting) {
        refuseStatement(
            state, *findSession(state, key), ReplyCode::Retry, retryAfterText(Duration(0), "this VM shuts down; another one takes new sessions"), now, out);
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
    const Duration since = now - *sessions.drainSince_;
    if (since < unlistedDelay) {
        return;
    }
    const Duration left = sessions.identity_.drainTime_ - endMargin - since;
    const Duration maxWait = left < refuseAllTime ? Duration(0) : drainMaxWait;
    refuseWaiting(state, maxWait, now, out);
    refuseWaitingReads(state, maxWait, now, out);
    closeIdleSessions(sessions, now, out);
    const bool isIdle = sessions.sessions_.empty() && !runsForwardedReads(sessions);
    if (isIdle || since > sessions.identity_.drainTime_ - endMargin) {
        sessions.exiting_ = true;
        const std::size_t unfinished = logUnfinishedStatements(state, now, out);
        out.emplace_back(WriteLog{LogNumber::ProcessStopped,
                                  {{"sessions", absl::StrCat(sessions.sessions_.size())},
                                   {"unanswered", absl::StrCat(unfinished)},
                                   {"after_drain_ms", absl::StrCat(toMillis(since))}}});
        out.emplace_back(ExitProcess{});
    }
}

} // namespace Figward
