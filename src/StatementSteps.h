/** \file
 * Defines the requests that bring a member connection to what a session expects and then run its statement.
 */
#pragma once

#include "SessionState.h"

namespace Figward {

/** What to send on \p connection for the statement under way in \p session, one at a time and in this order; the last is the statement itself. */
std::deque<MemberRequest> stepsFor(const ClientSession &session, const MemberConnection &connection);

/** Whether \p request is a client's statement itself, and not what prepares its connection. */
bool isStatement(const MemberRequest &request);

} // namespace Figward
