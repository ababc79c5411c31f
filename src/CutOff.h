/** \file
 * Defines when a VM is considered cut off: together with its availability zone, in the smaller part of a network split, or from the primaries alone.
 *
 * Clients may still reach a VM that reaches neither the primaries nor up-to-date replicas elsewhere; their requests would wait and fail one after the other. A
 * VM that detects this state reports that it is not ready and closes idle sessions, so that clients are sent to other VMs.
 */
#pragma once

#include "SessionState.h"

namespace Figward {

/**
 * Reason why this VM is considered cut off at \p now, according to what it hears; no value if it is not. The first reason that applies, in the order of
 * CutOffReason.
 */
std::optional<CutOffReason> findCutOff(const SessionServiceState &sessions, Time now);

/** Text of \p reason in logs: a clause that states what is heard. */
std::string_view toString(CutOffReason reason);

/** Whether the zone of this VM is cut off from the larger part of the fleet. */
bool isZoneCutOff(const SessionServiceState &sessions);

/**
 * Whether this VM has heard, within \p within, at least half of the VMs that it heard recently. VMs that are leaving do not count, nor do those that send
 * heartbeats at the long interval, for which a short silence means nothing.
 */
bool hearsAtLeastHalf(const SessionServiceState &sessions, Duration within, Time now);

/** Whether this VM may use the group's primary, and the primary recently answered it or refused a connection because it was full. */
bool reachesPrimary(const SessionServiceState &sessions, const SessionGroup &group, Time now);

/**
 * Whether the group's primary, which this VM has been unable to use for longer than a replacement takes, is heard by other VMs: statements that need the
 * primary should be sent there.
 */
bool isPrimaryHeardElsewhere(const SessionGroup &group, Time now);

/** Whether no VM of another zone has been heard for so long that members there should be probed to determine whether the zone is cut off. */
bool shouldProbeOtherZones(const SessionServiceState &sessions, Time now);

} // namespace Figward
