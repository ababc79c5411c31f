/** \file
 * Defines how clients' statements are taken in, one at a time of each session.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** A client sent a statement. */
void onStatementArrived(ProxyState &state, const StatementArrived &arrived, Time now, Effects &out);
/** A client is gone: what it has open is rolled back. */
void onSessionClosed(ProxyState &state, SessionKey session, Time now, Effects &out);
/** The deadline of a statement of the session may have come. */
void onStatementDeadline(ProxyState &state, SessionKey session, Time now, Effects &out);
/** Takes what the client sent before the answer that it has now been given. */
void takeNextStatement(ProxyState &state, ClientSession &session, Time now, Effects &out);
/** Ends transactions that rest for too long and gives statements to other members where one is silent. */
void reviewSessions(ProxyState &state, Time now, Effects &out);
/** Whether nothing of the session is under way and it is in no transaction. */
bool isAtRest(const ClientSession &session);

} // namespace Figward
