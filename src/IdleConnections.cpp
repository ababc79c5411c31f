#include "IdleConnections.h"

namespace Figward {

void addIdle(IdleConnections &idle, ConnectionId connection, const OrganisationId &organisation)
{
    idle.all_.push_back(connection);
    idle.byOrganisation_[organisation].push_back(connection);
}

void removeIdle(IdleConnections &idle, ConnectionId connection, const OrganisationId &organisation)
{
    std::erase(idle.all_, connection);
    const auto found = idle.byOrganisation_.find(organisation);
    if (found == idle.byOrganisation_.end()) {
        return;
    }
    std::erase(found->second, connection);
    if (found->second.empty()) {
        idle.byOrganisation_.erase(found);
    }
}

const std::vector<ConnectionId> &idleOf(const IdleConnections &idle, const OrganisationId &organisation)
{
    static const std::vector<ConnectionId> none;
    const auto found = idle.byOrganisation_.find(organisation);
    return found == idle.byOrganisation_.end() ? none : found->second;
}

} // namespace Figward
