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
 * Whether this VM has lost all VMs of other zones for a while, and those are the larger part of the VMs that were there. The smaller part gives way: the larger
 * one replaces the primaries that it has lost.
 */
bool isZoneIsolated(const SessionServiceState &sessions, Time now);

} // namespace Figward
