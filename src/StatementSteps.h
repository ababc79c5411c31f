/** \file
 * Defines the requests that prepare a member connection for a session and then run the session's statement on it.
 */
#pragma once

#include "SessionState.h"

namespace Figward {

/** Requests to send on \p connection for the current statement of \p session, one at a time and in this order; the last is the statement itself. */
std::deque<MemberRequest> stepsFor(const ClientSession &session, const MemberConnection &connection);

/** Whether \p request is a client's statement, as opposed to a request that prepares the connection for it. */
bool isStatement(const MemberRequest &request);

} // namespace Figward
