/** \file
 * Defines how clients' sessions are opened, and how their statements are taken in, one at a time.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** The session, if the client has not closed it. */
ClientSession *findSession(ProxyState &state, SessionKey key);
/** A client opened a session; it waits until there is a configuration. */
void onSessionOpened(ProxyState &state, const SessionOpened &opened, Time now, Effects &out);
/** A client sent a statement. */
void onStatementArrived(ProxyState &state, const StatementArrived &arrived, Time now, Effects &out);
/** A client is gone: what it has open is rolled back. */
void onSessionClosed(ProxyState &state, SessionKey session, Time now, Effects &out);
/** The deadline of a statement of the session may have come. */
void onStatementDeadline(ProxyState &state, SessionKey session, Time now, Effects &out);
/** Takes what the client sent before the answer that it has now been given. */
void takeNextStatement(ProxyState &state, ClientSession &session, Time now, Effects &out);
/** Accepts or refuses the sessions that wait for a configuration. */
void acceptWaitingSessions(ProxyState &state, Effects &out);
/** Ends transactions that rest for too long and gives statements to other members where one is silent. */
void reviewSessions(ProxyState &state, Time now, Effects &out);
/** Whether nothing of the session is under way and it is in no transaction. */
bool isAtRest(const ClientSession &session);

} // namespace Figward
