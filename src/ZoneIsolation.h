/** \file
 * Defines when a VM counts as cut off from the rest: with its availability zone, or in the smaller part of a split.
 *
 * It answers the load pattern of clients that reach their VM while it reaches neither the primaries nor fresh replicas elsewhere: requests would
 * wait and fail one after the other. A VM that knows this says that it is not ready and lets idle sessions go, so that clients are sent to other zones.
 */
#pragma once

#include "SessionState.h"

namespace Figward {

/**
 * Whether this VM has lost all VMs and all members of other zones for a while, and those VMs are the larger part of all. The smaller part gives way: the larger
 * one replaces the primaries that it has lost. A VM that starts during a cut counts the VMs that the store lists.
 */
bool isZoneIsolated(const SessionServiceState &sessions, Time now);

/**
 * Whether this VM has lost more than half of the VMs that it heard lately and can use no primary. Both together: many VMs may lose power at once, and what is
 * left of them still serves; and a primary that nobody can use is replaced in about a second, where most VMs hear each other.
 */
bool isLeftInMinority(const SessionServiceState &sessions, Time now);

/** Whether the group's primary may be used and answered this VM lately. */
bool reachesPrimary(const SessionServiceState &sessions, const SessionGroup &group, Time now);

/**
 * Whether the group's primary, which this VM has not been able to use for longer than a replacement takes, is heard by other VMs: statements that need it
 * should go there.
 */
bool isServedElsewhere(const SessionServiceState &sessions, const SessionGroup &group, Time now);

/** Whether all groups are served elsewhere only. */
bool areAllServedElsewhere(const SessionServiceState &sessions, Time now);

/** Since when the VM counts as cut off, if it does. */
std::optional<Time> cutOffSince(const SessionServiceState &sessions);

/** Whether no VM of another zone was heard for so long that members there should be asked whether the zone is cut off. */
bool shouldAskElsewhere(const SessionServiceState &sessions, Time now);

} // namespace Figward
