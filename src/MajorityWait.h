/** \file
 * Defines the wait of a write between the primary's answer and its acknowledgement: until a majority of the group holds it.
 *
 * Replication is asynchronous, so the primary's word alone is not enough: what only it holds dies with it.
 */
#pragma once

#include "Admission.h"
#include "Ids.h"
#include "Units.h"

#include <map>
#include <optional>
#include <vector>

namespace Figward {

struct GroupOwner;

/** One write that waits. */
struct MajorityWaiter
{
    Ticket ticket_;
    Time since_;
};

/** Writes of one group that wait, by the point they wait for. */
struct MajorityWait
{
    std::multimap<LogPoint, MajorityWaiter> waiting_;
    Duration holdTime_{}; ///< Moving average of the time until a majority held a write.
};

/** Begins the wait of \p ticket for \p point. */
void beginWait(MajorityWait &wait, LogPoint point, Ticket ticket, Time now);
/** Ends the wait of \p ticket for \p point without an acknowledgement. */
void endWait(MajorityWait &wait, LogPoint point, Ticket ticket);
/** Removes and returns the writes that a majority holds by now, lowest point first. */
std::vector<Ticket> takeHeld(GroupOwner &owner, Time now);
/** How long a write begun at \p now is expected to wait; with none under way it is zero, so that one write finds out. */
Duration expectedWait(const MajorityWait &wait, Time now);

} // namespace Figward
