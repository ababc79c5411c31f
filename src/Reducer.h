/** \file
 * Defines the reducer: a state transition function that maps the current state and one event to the next state and a list of effects.
 *
 * The reducer performs no I/O and uses no threads, clock or global randomness. A run can therefore be reproduced exactly, and one program can drive thousands
 * of simulated proxies.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "ProxyState.h"

namespace Figward {

/** Applies \p event to \p state and returns the resulting effects in the order in which they must be executed. Event times must not decrease. */
Effects reduce(ProxyState &state, const Event &event);

} // namespace Figward
