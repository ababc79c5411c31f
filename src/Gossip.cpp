#include "Gossip.h"

#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr std::int64_t jitterDivisor = 4;

const VmInfo &successor(const std::vector<VmInfo> &vms, VmId self)
{
    const auto next = std::ranges::upper_bound(vms, self, {}, &VmInfo::id_);
    return next == vms.end() ? vms.front() : *next;
}

} // namespace

std::vector<VmInfo> gossipTargets(ProxyState &state, unsigned count)
{
    const std::vector<VmInfo> &vms = state.membership_.vms_;
    const VmId self = state.identity_.self_.id_;
    std::vector<VmInfo> targets;
    const auto add = [&](const VmInfo &vm) {
        const bool known = std::ranges::find(targets, vm.id_, &VmInfo::id_) != targets.end();
        if (vm.id_ != self && !known) {
            targets.push_back(vm);
        }
    };
    if (vms.empty() || count == 0) {
        return targets;
    }
    add(successor(vms, self));
    for (unsigned i = 1; i < count; ++i) {
        add(vms[state.random_() % vms.size()]);
    }
    return targets;
}

void gossipUpdate(ProxyState &state, const PeerBody &body, Effects &out)
{
    for (const VmInfo &target : gossipTargets(state, state.membership_.tuning_.updateFanOut_)) {
        sendPeer(state, target, body, out);
    }
}

Heartbeat makeHeartbeat(const ProxyState &state)
{
    return {.sender_ = state.identity_.self_};
}

Duration jittered(ProxyState &state, Duration interval)
{
    const std::int64_t span = std::max<std::int64_t>(1, interval.count() / jitterDivisor);
    const auto offset = static_cast<std::int64_t>(state.random_() % static_cast<std::uint64_t>(2 * span));
    return interval + Duration(offset - span);
}

} // namespace Figward
