/** \file
 * Defines how an owner handles the events of its connections: answers, which are matched to statements, and connections that open or fail.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "Units.h"

namespace Figward {

struct ProxyState;

void onUpstreamAnswered(ProxyState &state, const UpstreamAnswered &event, Time now, Effects &out);
void onConnectionOpened(ProxyState &state, const ConnectionOpened &event, Time now, Effects &out);
void onConnectionLost(ProxyState &state, const ConnectionLost &event, Time now, Effects &out);

} // namespace Figward
