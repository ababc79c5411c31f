#include "HeartbeatPace.h"

#include "Rendezvous.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <limits>

namespace Figward {

namespace {

/** Up to this number of VMs, heartbeats between all pairs cost less than a hundredth of what the VMs themselves cost. */
constexpr unsigned fullMeshVms = 12;
/**
 * Average number of peers of each VM that use the short interval although neither of the pair leads or is a delegate of the other's zone. With four zones, all
 * but one in 400 VMs have at least one such peer in another zone.
 */
constexpr unsigned shortIntervalPeers = 6;

/** The long interval is this times the number of known VMs: every VM sends about 17 such heartbeats a second regardless of the number of VMs. */
constexpr Duration longIntervalPerVm = std::chrono::milliseconds(60);

/** Pseudo-random weight of a pair, equal at both VMs. */
std::uint64_t pairWeight(VmId a, VmId b)
{
    return rendezvousWeight(GroupId(absl::StrCat(std::min(a, b).value())), std::max(a, b));
}

} // namespace

bool isFullMesh(unsigned vms)
{
    return vms <= fullMeshVms;
}

Duration heartbeatIntervalOf(const VmPair &pair)
{
    if (pair.eitherLeads_ || pair.eitherIsDelegate_ || isFullMesh(pair.vmCount_)) {
        return heartbeatInterval;
    }
    const std::uint64_t threshold = std::numeric_limits<std::uint64_t>::max() / pair.vmCount_ * shortIntervalPeers;
    return pairWeight(pair.self_, pair.peer_) < threshold ? heartbeatInterval : std::max(heartbeatInterval, longIntervalPerVm * pair.vmCount_);
}

} // namespace Figward
