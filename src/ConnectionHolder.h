/** \file
 * Defines the choice of the VM that keeps connections for an organisation to the members of a group.
 */
#pragma once

#include "Ids.h"

#include <absl/types/span.h>
#include <string>

namespace Figward {

/**
 * Name of the VM among \p vms that is the connection holder of \p organisation for \p group, chosen by rendezvous hashing; empty if there are no VMs. The
 * result does not depend on the order of \p vms, and a VM that is added or removed changes only the pairs that it holds.
 */
std::string connectionHolder(const OrganisationId &organisation, const ServiceId &group, absl::Span<const std::string> vms);

} // namespace Figward
