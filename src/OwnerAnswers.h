/** \file
 * Defines what an owner makes of its connections' events: answers matched by statement, connections that open and that fail.
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
