/** \file
 * Defines the graceful end of a process that serves sessions: no request is cut, clients find another VM between requests.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Begins the end: the platform is told to send no new clients, the rest goes on. */
void drainSessions(ProxyState &state, Time now, Effects &out);
/** Closes sessions that rest while the process ends or its zone is cut off, and ends the process when none is left or the time is up. */
void reviewSessionDrain(ProxyState &state, Time now, Effects &out);

} // namespace Figward
