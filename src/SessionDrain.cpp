#include "SessionDrain.h"

#include "GroupLeadership.h"
#include "ProxyState.h"
#include "SessionLookup.h"
#include "SessionStatements.h"
#include "StatementOutcome.h"

#include <absl/strings/str_cat.h>

namespace Figward {

namespace {

/** The platform asks once a second whether a VM is ready and believes the second no: clients whose sessions end sooner would come back here. */
constexpr Duration untilUnlisted = std::chrono::milliseconds(2200);
/** A session that has rested for this long is between requests. */
constexpr Duration atRest = std::chrono::milliseconds(60);
/** A statement of a client that still uses its connection waits for a member no longer than this, as other VMs can run it at once. */
constexpr Duration drainPatience = std::chrono::milliseconds(150);
/** Before the process ends, statements that have no member yet are refused at once; what runs at a member has this long to be answered. */
constexpr Duration lastCall = std::chrono::milliseconds(1000);
/** Before the process is killed, to end by itself. */
constexpr Duration endMargin = std::chrono::milliseconds(400);

void releaseAll(ProxyState &state, Time now, Effects &out)
{
    for (auto &[id, group] : state.sessions_->groups_) {
        releaseLeadership(state, group, "shutting down", now, out);
    }
}

/** Sends clients whose sessions are between requests to look for another VM. */
void closeRestingSessions(SessionServiceState &sessions, Time now, Effects &out)
{
    std::vector<SessionKey> resting;
    for (const auto &[key, session] : sessions.sessions_) {
        if (isAtRest(session) && now - session.lastActive_ > atRest) {
            resting.push_back(key);
        }
    }
    for (const SessionKey key : resting) {
        out.emplace_back(SessionEffect(CloseSession{key}));
        sessions.sessions_.erase(key);
    }
}

/**
 * Refuses statements that wait for a member while the process is about to end. A client that keeps using its connection would otherwise see it close without
 * an answer: a statement that came 0.9 s before the end waited for a connection, and was cut with the process.
 */
void refuseWaiting(ProxyState &state, Duration patience, Time now, Effects &out)
{
    std::vector<SessionKey> waiting;
    for (const auto &[key, session] : state.sessions_->sessions_) {
        if (session.run_ && !session.run_->connection_ && now - session.run_->arrived_ >= patience) {
            waiting.push_back(key);
        }
    }
    for (const SessionKey key : waiting) {
        refuse(state, *findSession(state, key), ReplyCode::Retry, comeBack(Duration(0), "this VM shuts down; another one takes new sessions"), now, out);
    }
}

} // namespace

void drainSessions(ProxyState &state, Time now, Effects &out)
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
    if (sessions.cutOff_ && now - sessions.cutOff_->since_ > untilUnlisted) {
        closeRestingSessions(sessions, now, out);
    }
    if (!sessions.drainSince_ || sessions.exiting_) {
        return;
    }
    releaseAll(state, now, out);
    const Duration since = now - *sessions.drainSince_;
    if (since < untilUnlisted) {
        return;
    }
    const Duration left = sessions.identity_.drainTime_ - endMargin - since;
    refuseWaiting(state, left < lastCall ? Duration(0) : drainPatience, now, out);
    closeRestingSessions(sessions, now, out);
    if (sessions.sessions_.empty() || since > sessions.identity_.drainTime_ - endMargin) {
        sessions.exiting_ = true;
        out.emplace_back(WriteLog{LogNumber::ProcessStopped, {{"sessions", absl::StrCat(sessions.sessions_.size())}}});
        out.emplace_back(ExitProcess{});
    }
}

} // namespace Figward
