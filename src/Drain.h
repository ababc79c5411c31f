/** \file
 * Defines the graceful shutdown of a proxy: it accepts no new work, finishes its current work, hands over unused terms, and exits.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "TimerService.h"
#include "Units.h"

namespace Figward {

struct ProxyState;

/** Progress of a shutdown. */
struct DrainState
{
    bool draining_ = false;
    bool rollingBack_ = false; ///< Whether the drain timeout has expired, so that open transactions are rolled back.
    bool exited_ = false;
    Time earliestExitAt_; ///< Until then the process stays to refuse late requests.
};

/** Begins the shutdown. */
void onDrainAsked(ProxyState &state, Time now, Effects &out);
/** Rolls back open transactions after the drain timeout, and ends the process once nothing is in flight any more. Called after every event while draining. */
void continueDrain(ProxyState &state, Time now, Effects &out);
/** Handles timers of TimerTopic::Drain. */
void onDrainTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);

} // namespace Figward
