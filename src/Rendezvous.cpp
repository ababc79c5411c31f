#include "Rendezvous.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace Figward {

std::uint64_t rendezvousWeight(const GroupId &group, VmId vm)
{
    return XXH3_64bits_withSeed(group.value().data(), group.value().size(), vm.value());
}

std::vector<VmInfo> rendezvousOwners(const GroupId &group, absl::Span<const VmInfo> vms, unsigned count)
{
    std::vector<std::pair<std::uint64_t, const VmInfo *>> ranked;
    for (const VmInfo &vm : vms) {
        if (!vm.leaving_) {
            ranked.emplace_back(rendezvousWeight(group, vm.id_), &vm);
        }
    }
    std::ranges::sort(ranked, [](const auto &a, const auto &b) { return std::tie(b.first, b.second->id_) < std::tie(a.first, a.second->id_); });
    std::vector<VmInfo> owners;
    std::map<ZoneId, unsigned> perZone;
    while (owners.size() < count && !ranked.empty()) {
        const auto fewest = [&](const auto &entry) { return perZone[entry.second->zone_]; };
        const auto best = std::ranges::min_element(ranked, {}, fewest);
        owners.push_back(*best->second);
        ++perZone[best->second->zone_];
        ranked.erase(best);
    }
    return owners;
}

} // namespace Figward
