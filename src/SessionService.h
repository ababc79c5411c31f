/** \file
 * Defines the interface of the session service to the reducer: start, events, timers and periodic review.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "SessionState.h"
#include "TimerService.h"

namespace Figward {

struct ProxyState;

/** Starts the service; ProxyState::sessions_ must be set. */
void startSessionService(ProxyState &state, Time now, Effects &out);
/** Handles a session event. */
void onSessionEvent(ProxyState &state, const SessionEvent &event, Time now, Effects &out);
/** Handles a session timer: the deadline of a statement, or the periodic review. */
void onSessionTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** Completes the handling of each event: dispatches waiting statements, advances replacements and sends heartbeats that are due. */
void runPendingSessionWork(ProxyState &state, Time now, Effects &out);

} // namespace Figward
