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

// Intervals of fleets that exchange groups on demand. Each grows with the number of VMs of its kind, so that the rate of one VM does not.
constexpr Duration relayIntervalPerZoneVm = std::chrono::milliseconds(5);
constexpr Duration closeIntervalPerVm = std::chrono::microseconds(1500);
constexpr Duration delegateIntervalPerDelegate = std::chrono::milliseconds(60);
/** The long interval grows with the square: nothing depends on it but that each VM hears all others at times. */
constexpr Duration longIntervalPerVmSquared = std::chrono::microseconds(400);

/** Pseudo-random weight of a pair, equal at both VMs. */
std::uint64_t pairWeight(VmId a, VmId b)
{
    return rendezvousWeight(GroupId(absl::StrCat(std::min(a, b).value())), std::max(a, b));
}

/** Whether the pair is one of the few that exchange heartbeats often without a role that needs it. */
bool isRandomlyClose(VmId a, VmId b, unsigned vmCount)
{
    return pairWeight(a, b) < std::numeric_limits<std::uint64_t>::max() / vmCount * shortIntervalPeers;
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
    const bool close = isRandomlyClose(pair.self_, pair.peer_, pair.vmCount_);
    return close ? heartbeatInterval : std::max(heartbeatInterval, longIntervalPerVm * pair.vmCount_);
}

HeartbeatPace onDemandPaceOf(const OnDemandPair &pair)
{
    if (pair.bothAreRelays_) {
        return {heartbeatInterval, true};
    }
    if (pair.eitherIsRelay_) {
        return {std::max(heartbeatInterval, relayIntervalPerZoneVm * pair.zoneVmCount_), true};
    }
    if (isRandomlyClose(pair.self_, pair.peer_, pair.vmCount_)) {
        return {std::max(heartbeatInterval, closeIntervalPerVm * pair.vmCount_), true};
    }
    if (pair.bothAreDelegates_) {
        return {std::max(heartbeatInterval, delegateIntervalPerDelegate * pair.delegateCount_), false};
    }
    return {std::max(longIntervalPerVm, longIntervalPerVmSquared * pair.vmCount_) * pair.vmCount_, false};
}

} // namespace Figward
