/** \file
 * Defines the reducer: every decision of figward is a step from one state and one event to the next state and its effects.
 *
 * It has no I/O, threads, clock or global randomness, so that a run can be repeated exactly and thousands of proxies can be driven by one program.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "ProxyState.h"

namespace Figward {

/** Takes \p event into \p state and returns what is to be done about it, in order. Times of events must not decrease. */
Effects reduce(ProxyState &state, const Event &event);

} // namespace Figward
