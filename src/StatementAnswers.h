/** \file
 * Defines what members' answers, and the ends of their connections, mean for the statements under way.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** A request on the connection of a session's statement was answered. */
void onStepAnswered(ProxyState &state, MemberConnection &connection, const MemberRequest &request, const SessionReply &reply, Time now, Effects &out);
/** The connection of a session to \p member is gone. */
void onSessionConnectionLost(ProxyState &state, SessionKey session, const MemberId &member, Time now, Effects &out);
/** Whether the next step of a session's connection may still be sent; if not, the statement is given another way. */
bool mayStillSend(ProxyState &state, MemberConnection &connection, const MemberRequest &step, Time now, Effects &out);

} // namespace Figward
