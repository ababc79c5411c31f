/** \file
 * Defines the dispatch of waiting statements to members, and their immediate refusal where no member is expected to run them in time.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Assigns connections to the waiting statements of \p group. */
void dispatchStatements(ProxyState &state, SessionGroup &group, Time now, Effects &out);
/** Reason why the statement of \p session is still waiting, for the client and the log. */
std::string waitReason(ProxyState &state, const ClientSession &session, Time now);

} // namespace Figward
