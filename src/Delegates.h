/** \file
 * Defines the delegates of an availability zone: the few VMs that are first to lead groups, and that read claims from the store on behalf of their zone while a
 * leader is silent.
 *
 * Delegates limit the load of a large fleet. A leader exchanges heartbeats with all VMs several times a second; if any VM could lead, nearly all pairs of VMs
 * would do so. And if a leader failed, every VM would read the store by itself until another VM leads. With delegates, the leaders are few, and each zone reads
 * the store through its delegates.
 */
#pragma once

#include "Ids.h"

#include <absl/types/span.h>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace Figward {

/** A VM that may be chosen as a delegate of its zone. */
struct DelegateCandidate
{
    std::string name_;
    ZoneId zone_;
};

/** Role of a delegate, in ascending order of priority for leadership. */
enum class DelegateRole {
    Spare, ///< Reads the store on behalf of its zone, and leads groups if another delegate is lost.
    Leader, ///< Also ranks first for the leadership of groups.
};

/** Number of delegates with the role Leader in each of \p zones, such that each leads only a few of \p groups. One spare is added to them. */
unsigned leadersPerZone(std::size_t groups, std::size_t zones);
/**
 * Chooses \p leaders delegates and one spare for each zone, by name. The result depends only on the names and zones, so that it is the same at all VMs that
 * know the same VMs, and after a VM has been restarted.
 */
std::map<std::string, DelegateRole> chooseDelegates(absl::Span<const DelegateCandidate> vms, unsigned leaders);
/**
 * Chooses the relays of each zone: the first two of its delegates. All VMs of the zone exchange heartbeats with them, and learn from them of a new configuration
 * and of changed members, however many delegates lead groups.
 */
std::set<std::string> chooseRelays(absl::Span<const DelegateCandidate> vms);
/**
 * Whether VMs ask a group's leader for authority only while they use the group. Otherwise each leader sends to all VMs, and in a fleet of few VMs every
 * heartbeat names all \p groups. That costs less as long as the groups and their \p leaders are few; more of them would send each VM more heartbeats than it
 * can spare, or more groups than fit into a datagram.
 */
bool exchangesOnDemand(std::size_t groups, std::size_t leaders);

} // namespace Figward
