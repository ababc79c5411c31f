/** \file
 * Defines how often two VMs send each other heartbeats.
 *
 * If all VMs sent heartbeats to all others at the same rate, the datagrams would grow with the square of the number of VMs (23,400 a second at 77 VMs). Only
 * pairs with a group's leader, and pairs of a zone's delegate and a VM of that zone, need short intervals. Other pairs only need to know that the other VM is
 * alive. In addition, a few pairs, spread at random over the availability zones, use the short interval, so that a network split is detected even without a
 * leader nearby.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

namespace Figward {

/** Shortest interval between heartbeats. Several fit into the validity of an authority renewal, so that the loss of one or two in a row costs no authority. */
constexpr Duration heartbeatInterval = std::chrono::milliseconds(250);
/** Pair of VMs, as known to one of them. */
struct VmPair
{
    VmId self_;
    VmId peer_;
    unsigned vmCount_ = 2; ///< Number of all known VMs.
    bool eitherLeads_ = false; ///< One of the two leads a group.
    bool eitherIsDelegate_ = false; ///< Both are in the same availability zone, and one of them is a delegate.
};

/** Pair of VMs in a fleet that exchanges the state of groups on demand, as known to one of them. */
struct OnDemandPair
{
    VmId self_;
    VmId peer_;
    unsigned vmCount_ = 2; ///< Number of all known VMs.
    unsigned zoneVmCount_ = 1; ///< Number of known VMs in the zone of the first.
    unsigned delegateCount_ = 0;
    bool eitherIsRelay_ = false; ///< Both are in the same availability zone, and one of them is a relay.
    bool bothAreRelays_ = false;
    bool bothAreDelegates_ = false;
};
/** How a pair of VMs exchanges heartbeats. */
struct HeartbeatPace
{
    Duration interval_{};
    bool close_ = false; ///< The two hear each other often enough to notice a network split by it.
};

/** Whether the fleet is so small that all pairs of VMs exchange full heartbeats at the shortest interval at little cost. */
bool isFullMesh(unsigned vms);
/**
 * Interval between heartbeats of the pair. Both VMs usually compute the same value; a receiver relies on the interval that the sender states in its heartbeat.
 */
Duration heartbeatIntervalOf(const VmPair &pair);
/** Pace of the pair. Intervals grow with the number of VMs or delegates, so that the rate of a VM does not grow with the fleet. */
HeartbeatPace onDemandPaceOf(const OnDemandPair &pair);

} // namespace Figward
