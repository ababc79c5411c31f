#include "Delegates.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace Figward {

namespace {

/** Approximate number of groups that a delegate leads: its heartbeats then still fit into one datagram. */
constexpr std::size_t groupsPerLeader = 8;

} // namespace

unsigned leadersPerZone(std::size_t groups, std::size_t zones)
{
    const std::size_t groupsPerRank = groupsPerLeader * std::max<std::size_t>(1, zones);
    return static_cast<unsigned>(std::max<std::size_t>(1, (groups + groupsPerRank - 1) / groupsPerRank));
}

std::map<std::string, DelegateRole> chooseDelegates(absl::Span<const DelegateCandidate> vms, unsigned leaders)
{
    std::map<ZoneId, std::vector<std::pair<std::uint64_t, const std::string *>>> zones;
    for (const DelegateCandidate &vm : vms) {
        zones[vm.zone_].emplace_back(XXH3_64bits(vm.name_.data(), vm.name_.size()), &vm.name_);
    }
    std::map<std::string, DelegateRole> delegates;
    for (auto &[zone, candidates] : zones) {
        const std::size_t count = std::min<std::size_t>(leaders + 1, candidates.size());
        std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), std::greater{}, [](const auto &vm) { return vm.first; });
        for (std::size_t rank = 0; rank < count; ++rank) {
            delegates.emplace(*candidates[rank].second, rank < leaders ? DelegateRole::Leader : DelegateRole::Spare);
        }
    }
    return delegates;
}

} // namespace Figward
