/** \file
 * Defines how queued requests are matched with members, connections and slots.
 */
#pragma once

#include "Effect.h"
#include "Units.h"

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** Sends all queued requests that can be sent now, most urgent first. */
void dispatch(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Asks the reducer to dispatch \p owner once the present event has been taken in. */
void wantDispatch(ProxyState &state, const GroupOwner &owner);

} // namespace Figward
