/** \file
 * Defines the idle connections to a member, with an index by organisation: only statements of its organisation may use a connection, and there may be many
 * organisations.
 */
#pragma once

#include "Ids.h"

#include <absl/container/flat_hash_map.h>
#include <vector>

namespace Figward {

/** Idle connections to a member. */
struct IdleConnections
{
    std::vector<ConnectionId> all_; ///< The connection that has been idle longest comes first.
    absl::flat_hash_map<OrganisationId, std::vector<ConnectionId>> byOrganisation_; ///< The same in the same order; without empty lists.
};

/** Adds a connection that has just become idle. */
void addIdle(IdleConnections &idle, ConnectionId connection, const OrganisationId &organisation);
/** Removes a connection that was opened for \p organisation, if it is among the idle ones. */
void removeIdle(IdleConnections &idle, ConnectionId connection, const OrganisationId &organisation);
/** Idle connections of \p organisation, the one that has been idle longest first. */
const std::vector<ConnectionId> &idleOf(const IdleConnections &idle, const OrganisationId &organisation);

} // namespace Figward
