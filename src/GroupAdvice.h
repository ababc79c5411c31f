/** \file
 * Defines the exchange of observations and advice in a group: what this VM reports, what it does as the leader, and how it follows the leader's advice.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Time after its last observation for which a VM reports on a group: enough heartbeats that the leader gets the totals although some are lost. */
constexpr Duration reportTime = std::chrono::seconds(2);

/** The totals of this VM for \p group, and its last sightings of lagging replicas with their present ages. */
GroupObservations reportOf(ProxyState &state, const SessionGroup &group, Time now);
/** Records an observation of this VM; the returned totals are to be increased. */
GroupObservations &observe(SessionGroup &group, Time now);
/** Follows the advice that the leader sent at \p sentAt, by this VM's clock. Advice that was sent before the one in force is ignored. */
void receiveAdvice(ProxyState &state, SessionGroup &group, const GroupAdvice &advice, Time sentAt);
/** As the leader of \p group, updates the advice from the observations of all VMs, if that is due. */
void reviewAdvice(ProxyState &state, SessionGroup &group, Time now, Effects &out);

} // namespace Figward
