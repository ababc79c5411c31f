#include "Rendezvous.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <xxhash.h>

namespace Figward {

namespace {

/** The VMs in descending order of weight for one group, sorted lazily as far as they are accessed. */
class WeightOrder
{
public:
    WeightOrder(const GroupId &group, absl::Span<const VmInfo> vms)
    {
        heap_.reserve(vms.size());
        for (const VmInfo &vm : vms) {
            if (!vm.leaving_) {
                heap_.emplace_back(rendezvousWeight(group, vm.id_), &vm);
            }
        }
        std::make_heap(heap_.begin(), heap_.end(), lighter);
    }

    /** Whether there is a VM at index \p i. No index may be skipped: \p i is at most one above the highest index passed before. */
    bool has(std::size_t i)
    {
        if (i == sorted_.size() && !heap_.empty()) {
            std::pop_heap(heap_.begin(), heap_.end(), lighter);
            sorted_.push_back(heap_.back().second);
            heap_.pop_back();
        }
        return i < sorted_.size();
    }

    [[nodiscard]] const VmInfo &at(std::size_t i) const
    {
        return *sorted_[i];
    }

private:
    using WeightedVm = std::pair<std::uint64_t, const VmInfo *>;

    static bool lighter(const WeightedVm &a, const WeightedVm &b)
    {
        return std::tie(a.first, a.second->id_) < std::tie(b.first, b.second->id_);
    }

    std::vector<WeightedVm> heap_;
    std::vector<const VmInfo *> sorted_;
};

} // namespace

std::uint64_t rendezvousWeight(const GroupId &group, VmId vm)
{
    return XXH3_64bits_withSeed(group.value().data(), group.value().size(), vm.value());
}

std::vector<VmInfo> rendezvousOwners(const GroupId &group, absl::Span<const VmInfo> vms, unsigned count)
{
    WeightOrder order(group, vms);
    std::vector<VmInfo> owners;
    std::map<ZoneId, unsigned> perZone;
    // Round r gives each zone its owner number r + 1, in order of weight, so that only a few VMs have to be sorted for most groups.
    for (unsigned round = 0; owners.size() < count; ++round) {
        const std::size_t before = owners.size();
        for (std::size_t i = 0; owners.size() < count && order.has(i); ++i) {
            const VmInfo &vm = order.at(i);
            const bool taken = std::ranges::find(owners, vm.id_, &VmInfo::id_) != owners.end();
            if (!taken && perZone[vm.zone_] == round) {
                owners.push_back(vm);
                ++perZone[vm.zone_];
            }
        }
        if (owners.size() == before) {
            break;
        }
    }
    return owners;
}

} // namespace Figward
