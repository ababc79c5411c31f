/** \file
 * Defines the graceful shutdown of a proxy: it takes no new work, finishes what it has, hands over, and ends.
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
    bool cutting_ = false; ///< The drain timeout has passed: open transactions are rolled back.
    bool exited_ = false;
    Time mayExitAt_; ///< Refusals are still given until then.
};

/** Begins the shutdown. */
void onDrainAsked(ProxyState &state, Time now, Effects &out);
/** Ends the process when nothing is in flight any more; called after every event while draining. */
void reviewDrain(ProxyState &state, Time now, Effects &out);
/** Subscriber of Drain. */
void onDrainTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);

} // namespace Figward
