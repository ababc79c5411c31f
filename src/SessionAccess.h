/** \file
 * Defines the admission of sessions: a session must name a configured database and, unless that is public, a key that belongs to an organisation.
 *
 * A key may be newer than the configuration of this VM, and a revoked key may be in use on open sessions. Both are therefore re-evaluated with each
 * configuration.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Identity of the client of \p session under the active configuration, at the database that \p route serves. */
Caller callerOf(const SessionServiceState &sessions, const ClientSession &session, const DatabaseRoute &route);
/** Handles the opening of a session by a client. */
void onSessionOpened(ProxyState &state, const SessionOpened &opened, Time now, Effects &out);
/** Accepts or refuses the sessions that wait for a configuration, where that can be decided by now. */
void reviewWaitingSessions(ProxyState &state, Time now, Effects &out);
/** Handles the activation of a configuration: marks the sessions whose keys were revoked, and decides on the waiting ones. */
void onConfigurationInForce(ProxyState &state, Time now, Effects &out);
/**
 * Closes sessions with revoked keys once they are idle. Their next statement would be refused, and their clients would hold connections that they cannot use.
 */
void closeRevokedSessions(SessionServiceState &sessions, Effects &out);

} // namespace Figward
