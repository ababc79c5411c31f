/** \file
 * Defines how statements that wait are given to members, or refused at once where nobody can run them.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Finds connections for the statements of \p group that wait. */
void dispatchStatements(ProxyState &state, SessionGroup &group, Time now, Effects &out);
/** Why the statement of \p session still waits, for the client and the log. */
std::string whyItWaits(ProxyState &state, const ClientSession &session, Time now);

} // namespace Figward
