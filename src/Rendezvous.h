/** \file
 * Defines rendezvous hashing of groups over VMs: each pair has a weight, and the highest weights own the group.
 */
#pragma once

#include "Platform.h"

#include <absl/types/span.h>
#include <vector>

namespace Figward {

/** Weight of the pair (\p group, \p vm): equal in every process, and independent between pairs. */
std::uint64_t rendezvousWeight(const GroupId &group, VmId vm);
/**
 * The first \p count of \p vms for \p group, highest weight first, from as many availability zones as possible: a VM of a zone that has fewer owners
 * already goes before one of higher weight. VMs that leave are passed over.
 */
std::vector<VmInfo> rendezvousOwners(const GroupId &group, absl::Span<const VmInfo> vms, unsigned count);

} // namespace Figward
