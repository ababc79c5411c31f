/** \file
 * Defines the effect of members' answers, and of lost connections, on the statements in progress.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Handles the answer to a request on the connection of a session's statement. */
void onStepAnswered(ProxyState &state, MemberConnection &connection, const MemberRequest &request, const SessionReply &reply, Time now, Effects &out);
/** Handles the loss of a session's connection to \p member. */
void onSessionConnectionLost(ProxyState &state, SessionKey session, const MemberId &member, Time now, Effects &out);
/** Whether the next step of a session's connection may still be sent. If not, the statement is retried elsewhere or refused. */
bool mayStillSend(ProxyState &state, MemberConnection &connection, const MemberRequest &step, Time now, Effects &out);

} // namespace Figward
