/** \file
 * Defines when a VM's availability zone counts as cut off from the rest.
 *
 * It answers the load pattern of a zone whose clients reach its VMs while these reach neither the primaries nor fresh replicas elsewhere: requests would
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

/** Whether no VM of another zone was heard for so long that members there should be asked whether the zone is cut off. */
bool shouldAskElsewhere(const SessionServiceState &sessions, Time now);

} // namespace Figward
