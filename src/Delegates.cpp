#include "Delegates.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace Figward {

namespace {

/** A delegate leads about as many: its heartbeats then still fit into one datagram. */
constexpr std::size_t groupsForEach = 8;

} // namespace

unsigned leadersPerZone(std::size_t groups, std::size_t zones)
{
    const std::size_t led = groupsForEach * std::max<std::size_t>(1, zones);
    return static_cast<unsigned>(std::max<std::size_t>(1, (groups + led - 1) / led));
}

std::map<std::string, DelegateRole> chooseDelegates(absl::Span<const DelegateCandidate> vms, unsigned leaders)
{
    std::map<ZoneId, std::vector<std::pair<std::uint64_t, const std::string *>>> zones;
    for (const DelegateCandidate &vm : vms) {
        zones[vm.zone_].emplace_back(XXH3_64bits(vm.name_.data(), vm.name_.size()), &vm.name_);
    }
    std::map<std::string, DelegateRole> delegates;
    for (auto &[zone, weighed] : zones) {
        const std::size_t count = std::min<std::size_t>(leaders + 1, weighed.size());
        std::ranges::partial_sort(weighed, weighed.begin() + static_cast<std::ptrdiff_t>(count), std::greater{}, [](const auto &vm) { return vm.first; });
        for (std::size_t place = 0; place < count; ++place) {
            delegates.emplace(*weighed[place].second, place < leaders ? DelegateRole::Leader : DelegateRole::Spare);
        }
    }
    return delegates;
}

} // namespace Figward
