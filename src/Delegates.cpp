#include "Delegates.h"

#include "HeartbeatPace.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace Figward {

namespace {

/** Approximate number of groups that a delegate leads: its heartbeats then still fit into one datagram. */
constexpr std::size_t groupsPerLeader = 8;
/** One relay, and one that takes its place at once if it is lost. */
constexpr std::size_t relaysPerZone = 2;
/** Heartbeats a second that a VM sends to each leader that sends to all VMs. */
constexpr std::size_t heartbeatsPerLeader = std::chrono::seconds(1) / heartbeatInterval;
/** Heartbeats a second that a VM may send to leaders: each costs both VMs processor time, whether or not clients use the leader's groups. */
constexpr std::size_t maxLeaderHeartbeats = 40;
/** Number of groups that a heartbeat may name: some 100 bytes each, in a datagram of at most 64 kB. */
constexpr std::size_t maxGroupsPerHeartbeat = 400;

/** The first \p count VMs of each zone, by a hash of their names. */
std::vector<std::vector<std::string>> rankByZone(absl::Span<const DelegateCandidate> vms, std::size_t count)
{
    std::map<ZoneId, std::vector<std::pair<std::uint64_t, const std::string *>>> zones;
    for (const DelegateCandidate &vm : vms) {
        zones[vm.zone_].emplace_back(XXH3_64bits(vm.name_.data(), vm.name_.size()), &vm.name_);
    }
    std::vector<std::vector<std::string>> ranked;
    for (auto &[zone, candidates] : zones) {
        const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(std::min(count, candidates.size()));
        std::ranges::partial_sort(candidates, end, std::greater{}, [](const auto &vm) { return vm.first; });
        std::vector<std::string> &names = ranked.emplace_back();
        std::transform(candidates.begin(), end, std::back_inserter(names), [](const auto &vm) { return *vm.second; });
    }
    return ranked;
}

} // namespace

unsigned leadersPerZone(std::size_t groups, std::size_t zones)
{
    const std::size_t groupsPerRank = groupsPerLeader * std::max<std::size_t>(1, zones);
    return static_cast<unsigned>(std::max<std::size_t>(1, (groups + groupsPerRank - 1) / groupsPerRank));
}

std::map<std::string, DelegateRole> chooseDelegates(absl::Span<const DelegateCandidate> vms, unsigned leaders)
{
    std::map<std::string, DelegateRole> delegates;
    for (const std::vector<std::string> &ranked : rankByZone(vms, leaders + 1)) {
        for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
            delegates.emplace(ranked[rank], rank < leaders ? DelegateRole::Leader : DelegateRole::Spare);
        }
    }
    return delegates;
}

std::set<std::string> chooseRelays(absl::Span<const DelegateCandidate> vms)
{
    std::set<std::string> relays;
    for (const std::vector<std::string> &ranked : rankByZone(vms, relaysPerZone)) {
        relays.insert(ranked.begin(), ranked.end());
    }
    return relays;
}

bool exchangesOnDemand(std::size_t groups, std::size_t leaders)
{
    return leaders * heartbeatsPerLeader > maxLeaderHeartbeats || groups > maxGroupsPerHeartbeat;
}

} // namespace Figward
