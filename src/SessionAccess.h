/** \file
 * Defines which sessions are let in: those that name a database of the configuration, with a key that an organisation holds.
 *
 * A key may be newer than the configuration of this VM, and one that is taken away stays in use on open sessions: both are decided anew with each configuration.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Who the client of \p session is by the configuration in force, at the database that \p route serves. */
Caller callerOf(const SessionServiceState &sessions, const ClientSession &session, const DatabaseRoute &route);
/** A client opened a session. */
void onSessionOpened(ProxyState &state, const SessionOpened &opened, Time now, Effects &out);
/** Accepts or refuses the sessions that wait for a configuration, as far as that is settled by now. */
void reviewWaitingSessions(ProxyState &state, Time now, Effects &out);
/** A configuration came into force: marks the sessions whose keys nobody holds any more, and settles those that wait. */
void onConfigurationInForce(ProxyState &state, Time now, Effects &out);
/** Closes sessions whose keys nobody holds, between two statements: their next statement would be refused, and their clients would keep connections for nothing. */
void closeRevokedSessions(SessionServiceState &sessions, Effects &out);

} // namespace Figward
