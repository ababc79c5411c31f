/** \file
 * Defines the handling of clients' statements, which run one at a time in each session.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Handles a statement received from a client. */
void onStatementArrived(ProxyState &state, const StatementArrived &arrived, Time now, Effects &out);
/** Handles the end of a client's connection: its open transaction is rolled back. */
void onSessionClosed(ProxyState &state, SessionKey session, Time now, Effects &out);
/** Handles the deadline timer of a statement of the session, which may belong to an earlier statement. */
void onStatementDeadline(ProxyState &state, SessionKey session, Time now, Effects &out);
/** Handles, in order, the statements that the client sent before the previous one was answered, until one of them is in progress. */
void takeNextStatement(ProxyState &state, ClientSession &session, Time now, Effects &out);
/** Ends transactions that are idle for too long, and moves reads from unresponsive members to other members. */
void reviewSessions(ProxyState &state, Time now, Effects &out);
/** Whether the session has no statement in progress or queued and no open transaction. */
bool isSessionIdle(const ClientSession &session);

} // namespace Figward
