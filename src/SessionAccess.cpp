#include "SessionAccess.h"

#include "ProxyState.h"
#include "SessionDrain.h"
#include "SessionLookup.h"
#include "SessionStatements.h"

#include <absl/strings/str_cat.h>
#include <vector>

namespace Figward {

namespace {

/**
 * An unknown database or key may have been added a moment ago. It is therefore refused only if some VM has compared the configuration with the store's latest
 * within this time and no newer version is known. VMs compare every 1.2 s while the store answers, so a flood of unknown names causes no store calls and
 * hardly any waits.
 */
constexpr Duration maxCheckAge = std::chrono::milliseconds(2500);
/** Maximum time for which a session waits for a newer configuration: clients give up after about 2 s. */
constexpr Duration maxAccessWait = std::chrono::milliseconds(1200);

/** Decision on a session that is not accepted yet. */
enum class Access {
    Waits,
    Accepted,
    NoDatabase,
    NotAuthenticated,
};

/** Whether the decision no longer waits for a newer configuration that may contain the database or key. */
bool isSettled(const SessionServiceState &sessions, const ClientSession &session, Time now)
{
    const std::optional<Time> &askedAt = sessions.schedule_.configurationCheck_.askedAt_;
    const bool fresh = askedAt && now - *askedAt < maxCheckAge && sessions.newestReported_ <= sessions.configuration_->version_;
    return fresh || now - session.openedAt_ >= maxAccessWait;
}

Access accessOf(const SessionServiceState &sessions, const ClientSession &session, Time now)
{
    if (!sessions.configuration_) {
        return Access::Waits;
    }
    const auto route = sessions.configuration_->databases_.find(session.database_);
    if (route == sessions.configuration_->databases_.end()) {
        return isSettled(sessions, session, now) ? Access::NoDatabase : Access::Waits;
    }
    if (callerOf(sessions, session, route->second).admitted_) {
        return Access::Accepted;
    }
    return isSettled(sessions, session, now) ? Access::NotAuthenticated : Access::Waits;
}

void logRefusedKey(const ClientSession &session, const SessionConfiguration &configuration, Effects &out)
{
    // The key and its digest are never logged: more people read the log than the configuration.
    out.emplace_back(WriteLog{LogNumber::KeyRefused,
                              {{"session", absl::StrCat(session.key_.value())},
                               {"database", session.database_},
                               {"named", session.keyDigest_ ? "yes" : "no"},
                               {"configuration", absl::StrCat(configuration.version_.value())}}});
}

/** Accepts or refuses the session if that can be decided. Returns true if it still waits. */
bool decideAccess(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    SessionServiceState &sessions = *state.sessions_;
    const SessionKey key = session.key_;
    switch (accessOf(sessions, session, now)) {
    case Access::Waits:
        return true;
    case Access::Accepted:
        session.accepted_ = true;
        out.emplace_back(SessionEffect(AcceptSession{key}));
        return false;
    case Access::NoDatabase:
        out.emplace_back(SessionEffect(RefuseSession{key, ReplyCode::NoDatabase, session.database_}));
        break;
    case Access::NotAuthenticated:
        logRefusedKey(session, *sessions.configuration_, out);
        out.emplace_back(SessionEffect(RefuseSession{key, ReplyCode::NotAuthenticated, "no organisation holds this key"}));
        break;
    }
    sessions.sessions_.erase(key);
    return false;
}

/** Marks sessions whose keys were revoked, and logs how many were newly marked. */
void markRevoked(SessionServiceState &sessions, Effects &out)
{
    std::size_t revoked = 0;
    for (auto &[key, session] : sessions.sessions_) {
        const auto route = sessions.configuration_->databases_.find(session.database_);
        const bool isAdmitted = route == sessions.configuration_->databases_.end() || callerOf(sessions, session, route->second).admitted_;
        revoked += session.accepted_ && !isAdmitted && !session.revoked_ ? 1 : 0;
        session.revoked_ = session.accepted_ && !isAdmitted;
    }
    if (revoked > 0) {
        out.emplace_back(WriteLog{LogNumber::KeysRevoked,
                                  {{"sessions", absl::StrCat(revoked)}, {"configuration", absl::StrCat(sessions.configuration_->version_.value())}}});
    }
}

} // namespace

Caller callerOf(const SessionServiceState &sessions, const ClientSession &session, const DatabaseRoute &route)
{
    const std::optional<Organisations> &organisations = sessions.configuration_->organisations_;
    return identifyCaller(organisations ? &*organisations : nullptr, route.public_, session.keyDigest_);
}

void onSessionOpened(ProxyState &state, const SessionOpened &opened, Time now, Effects &out)
{
    ClientSession session;
    session.key_ = opened.session_;
    session.database_ = opened.database_;
    session.keyDigest_ = opened.key_;
    session.openedAt_ = now;
    session.lastActive_ = now;
    SessionServiceState &sessions = *state.sessions_;
    if (refusesOperations(sessions, now)) {
        out.emplace_back(SessionEffect(RefuseSession{opened.session_, ReplyCode::Retry, drainRefusalText()}));
        return;
    }
    const auto place = sessions.sessions_.insert_or_assign(opened.session_, std::move(session)).first;
    if (decideAccess(state, place->second, now, out)) {
        sessions.unaccepted_.insert(opened.session_);
    }
}

void reviewWaitingSessions(ProxyState &state, Time now, Effects &out)
{
    std::set<SessionKey> waiting;
    for (const SessionKey key : state.sessions_->unaccepted_) {
        ClientSession *session = findSession(state, key);
        if (session != nullptr && decideAccess(state, *session, now, out)) {
            waiting.insert(key);
        }
    }
    state.sessions_->unaccepted_ = std::move(waiting);
}

void onConfigurationInForce(ProxyState &state, Time now, Effects &out)
{
    markRevoked(*state.sessions_, out);
    reviewWaitingSessions(state, now, out);
}

void closeRevokedSessions(SessionServiceState &sessions, Effects &out)
{
    std::vector<SessionKey> idle;
    for (const auto &[key, session] : sessions.sessions_) {
        if (session.revoked_ && isSessionIdle(session)) {
            idle.push_back(key);
        }
    }
    for (const SessionKey key : idle) {
        out.emplace_back(SessionEffect(CloseSession{key}));
        sessions.sessions_.erase(key);
    }
}

} // namespace Figward
