#include "SessionDrain.h"

#include "GroupLeadership.h"
#include "ProxyState.h"
#include "SessionStatements.h"

#include <absl/strings/str_cat.h>

namespace Figward {

namespace {

/** The platform asks once a second whether a VM is ready and believes the second no: clients whose sessions end sooner would come back here. */
constexpr Duration untilUnlisted = std::chrono::milliseconds(2200);
/** A session that has rested for this long is between requests. */
constexpr Duration atRest = std::chrono::milliseconds(60);
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
    closeRestingSessions(sessions, now, out);
    if (sessions.sessions_.empty() || since > sessions.identity_.drainTime_ - endMargin) {
        sessions.exiting_ = true;
        out.emplace_back(WriteLog{LogNumber::ProcessStopped, {{"sessions", absl::StrCat(sessions.sessions_.size())}}});
        out.emplace_back(ExitProcess{});
    }
}

} // namespace Figward
