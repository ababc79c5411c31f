/** \file
 * Defines how often two VMs send each other heartbeats, and about which groups.
 *
 * It answers the load pattern of many VMs: from all to all, the datagrams grow with the square of their number (23,400 a second at 77 VMs, by
 * count). What must be quick passes between a group's leader and the others, and between the delegates of a zone and its VMs; other pairs
 * only need to know that the other lives, and a few pairs, spread at random over the availability zones, show a cut though no leader is near.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

namespace Figward {

/** Several heartbeats fit into the lease on a primary, so that losing one or two in a row costs no authority. */
constexpr Duration heartbeatInterval = std::chrono::milliseconds(250);
/** Two VMs, as one of them sees them. */
struct VmPair
{
    VmId self_;
    VmId peer_;
    unsigned vms_ = 2; ///< All that are known.
    bool eitherLeads_ = false; ///< Some group.
    bool eitherIsDelegate_ = false; ///< Of the availability zone of both.
};

/** Whether all VMs exchange all they know: few enough for that to cost little. */
bool areAllClose(unsigned vms);
/** How often the two send each other heartbeats. Both come to the same result as a rule; receivers go by what the sender announces. */
Duration heartbeatIntervalOf(const VmPair &pair);

} // namespace Figward
