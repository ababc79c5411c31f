/** \file
 * Defines the service of database sessions as the reducer sees it: its start, its events and its periodic review.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "SessionState.h"
#include "TimerService.h"

namespace Figward {

struct ProxyState;

/** Starts the service; ProxyState::sessions_ is set. */
void startSessionService(ProxyState &state, Time now, Effects &out);
/** Takes in an event of sessions. */
void onSessionEvent(ProxyState &state, const SessionEvent &event, Time now, Effects &out);
/** A statement's deadline, or the time of the periodic review. */
void onSessionTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** What remains to be done after each event: statements that can be placed now, heartbeats that are due. */
void settleSessions(ProxyState &state, Time now, Effects &out);

} // namespace Figward
