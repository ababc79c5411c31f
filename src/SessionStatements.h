/** \file
 * Defines what becomes of a client's statement: taken in, placed on a member connection, and answered once.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** A client opened a session; it waits until there is a configuration. */
void onSessionOpened(ProxyState &state, const SessionOpened &opened, Time now, Effects &out);
/** A client sent a statement. */
void onStatementArrived(ProxyState &state, const StatementArrived &arrived, Time now, Effects &out);
/** A client is gone: what it has open is rolled back. */
void onSessionClosed(ProxyState &state, SessionKey session, Time now, Effects &out);
/** The deadline of a statement of the session may have come. */
void onStatementDeadline(ProxyState &state, SessionKey session, Time now, Effects &out);
/** Accepts or refuses the sessions that wait for a configuration. */
void acceptWaitingSessions(ProxyState &state, Time now, Effects &out);
/** Finds connections for statements that wait. */
void dispatchStatements(ProxyState &state, SessionGroup &group, Time now, Effects &out);
/** A request on the connection of a session's statement was answered. */
void onStepAnswered(ProxyState &state, MemberConnection &connection, const MemberRequest &request, const SessionReply &reply, Time now, Effects &out);
/** The connection of a session is gone; \p request was under way on it. */
void onSessionConnectionLost(ProxyState &state,
                             SessionKey session,
                             const std::optional<MemberRequest> &request,
                             const MemberId &member,
                             Time now,
                             Effects &out);
/** Whether the next step of a session's connection may still be sent; if not, the statement is given another way. */
bool mayStillSend(ProxyState &state, MemberConnection &connection, const MemberRequest &step, Time now, Effects &out);
/** Ends transactions that rest for too long and gives statements to other members where one is silent. */
void reviewSessions(ProxyState &state, Time now, Effects &out);
/** Whether nothing of the session is under way and it is in no transaction. */
bool isAtRest(const ClientSession &session);

} // namespace Figward
