/** \file
 * Defines the graceful shutdown of a process that serves sessions: no request is interrupted, and clients are moved to other VMs between requests.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Starts the shutdown: the platform is told to send no new clients, and existing sessions continue. */
void startSessionDrain(ProxyState &state, Time now, Effects &out);
/** Closes idle sessions during shutdown or while the zone is cut off. Ends the process when no session is left or the drain time has passed. */
void reviewSessionDrain(ProxyState &state, Time now, Effects &out);

} // namespace Figward
