/** \file
 * Defines rendezvous hashing of groups over VMs: each pair of group and VM has a weight, and the VMs with the highest weights own the group.
 */
#pragma once

#include "Platform.h"

#include <absl/types/span.h>
#include <vector>

namespace Figward {

/** Returns the weight of the pair (\p group, \p vm). It is the same in every process; weights of different pairs are independent. */
std::uint64_t rendezvousWeight(const GroupId &group, VmId vm);
/**
 * Returns up to \p count of \p vms as the owners of \p group, in order of rank, spread over as many availability zones as possible: a VM in a zone
 * with fewer owners so far is preferred to one of higher weight. Leaving VMs are skipped.
 */
std::vector<VmInfo> rendezvousOwners(const GroupId &group, absl::Span<const VmInfo> vms, unsigned count);

} // namespace Figward
