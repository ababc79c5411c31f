#include "HeartbeatPace.h"

#include "Rendezvous.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <limits>

namespace Figward {

namespace {

/** Up to here heartbeats from all to all cost below a hundredth of what VMs are worth. */
constexpr unsigned allClose = 12;
/** Pairs that speak often though neither leads, for each VM on average: a VM of four zones has at least one in another zone but for one in 400. */
constexpr unsigned closePeers = 6;

/** Pairs that need no quick word speak once in this time for each VM, so that a VM sends some 17 of these a second however many VMs there are. */
constexpr Duration seldomForEach = std::chrono::milliseconds(60);

/** Equal for both VMs of a pair. */
std::uint64_t pairWeight(VmId a, VmId b)
{
    return rendezvousWeight(GroupId(absl::StrCat(std::min(a, b).value())), std::max(a, b));
}

} // namespace

bool areAllClose(unsigned vms)
{
    return vms <= allClose;
}

Duration heartbeatIntervalOf(const VmPair &pair)
{
    if (pair.eitherLeads_ || pair.eitherIsDelegate_ || areAllClose(pair.vms_)) {
        return heartbeatInterval;
    }
    const std::uint64_t threshold = std::numeric_limits<std::uint64_t>::max() / pair.vms_ * closePeers;
    return pairWeight(pair.self_, pair.peer_) < threshold ? heartbeatInterval : std::max(heartbeatInterval, seldomForEach * pair.vms_);
}

} // namespace Figward
