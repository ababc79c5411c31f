/** \file
 * Defines the wait of a write between the primary's answer and its acknowledgement, which requires that a majority of the group holds the write.
 *
 * Replication is asynchronous: a write held only by the primary is lost if the primary fails.
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

/** A write that waits for a majority. */
struct MajorityWaiter
{
    Ticket ticket_;
    Time since_;
};

/** Waiting writes of one group by the log position they wait for. */
struct MajorityWait
{
    std::multimap<LogPoint, MajorityWaiter> waiting_;
    Duration averageWait_{}; ///< Moving average of the time until a majority holds a write.
};

/** Starts the wait of \p ticket for \p point. */
void beginWait(MajorityWait &wait, LogPoint point, Ticket ticket, Time now);
/** Ends the wait of \p ticket for \p point without an acknowledgement. */
void endWait(MajorityWait &wait, LogPoint point, Ticket ticket);
/** Removes and returns the writes that a majority now holds, lowest position first. */
std::vector<Ticket> takeMajorityHeld(GroupOwner &owner, Time now);
/** Expected wait of a write started at \p now. It is zero if no write is waiting, so that a new write can measure the current delay. */
Duration expectedWait(const MajorityWait &wait, Time now);

} // namespace Figward
