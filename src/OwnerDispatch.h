/** \file
 * Defines the dispatch of queued requests to members, given the available connections and slots.
 */
#pragma once

#include "Effect.h"
#include "Units.h"

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** Sends all queued requests that can be sent now, in the order of the queue. */
void dispatch(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Schedules a dispatch for \p owner after the current event has been processed. */
void requestDispatch(ProxyState &state, const GroupOwner &owner);

} // namespace Figward
