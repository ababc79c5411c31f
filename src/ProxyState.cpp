#include "ProxyState.h"

namespace Figward {

ProxyState makeProxyState(ProxyIdentity identity, std::uint64_t seed)
{
    ProxyState state;
    state.membership_.vms_ = {identity.self_};
    state.identity_ = std::move(identity);
    state.random_.seed(seed);
    return state;
}

std::uint64_t allocateId(ProxyState &state)
{
    return state.nextId_++;
}

GroupOwner *findOwner(ProxyState &state, const GroupId &group)
{
    const auto found = state.owners_.find(group);
    return found == state.owners_.end() ? nullptr : &found->second;
}

} // namespace Figward
