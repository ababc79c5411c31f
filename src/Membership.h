/** \file
 * Defines the list of known proxies and the assignment of groups to owners.
 *
 * Each VM polls the platform's list at an interval proportional to the number of VMs, so that together they poll about ten times a second. A VM that
 * sees a change passes it on by gossip, which reaches all VMs.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "TimerService.h"
#include "Units.h"

#include <map>
#include <vector>

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** Parameters of the traffic between proxies. docs/MEASUREMENTS.md shows the effect of the defaults. */
struct FleetTuning
{
    unsigned watchersPerZone_ = 2; ///< VMs that watch the manifest on the platform.
    unsigned updateFanOut_ = 3; ///< VMs to which each VM that learns of a change passes it on.
    unsigned heartbeatFanOut_ = 2; ///< VMs to which each heartbeat is sent.
    Duration heartbeatInterval_ = std::chrono::seconds(1);
    Duration minPollInterval_ = std::chrono::seconds(2);
    Duration pollIntervalPerVm_ = std::chrono::milliseconds(100); ///< Multiplied by the number of VMs to give the poll interval.
};

/** The proxies known to this one, from the platform's delayed list or from peers. */
struct MembershipState
{
    std::vector<VmInfo> vms_; ///< Ordered by id; always contains this proxy.
    std::map<VmId, Time> tombstones_; ///< When each removed VM left the list. A delayed update must not add it again.
    std::map<VmId, Time> unlisted_; ///< VMs reported by peers and not yet on the platform's list, with the time of the report.
    std::map<GroupId, std::vector<VmInfo>> owners_; ///< Result of ownersOf() for the current list; filled by refreshOwnership().
    bool smallListSeen_ = false; ///< The last list lacked most of the known VMs; such a list is applied only when the next one confirms it.
    bool platformUnavailable_ = false; ///< The last request for the list failed.
    Time lastPeerMessageAt_; ///< When the last message from a peer was received.
    FleetTuning tuning_;
};

/** Starts polling the list of VMs and sending heartbeats. */
void startMembership(ProxyState &state, Time now, Effects &out);
/** Handles timers of TimerTopic::Membership. */
void onMembershipTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
void onVmListAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out);
void onHeartbeat(ProxyState &state, const PeerMessage &message, const Heartbeat &heartbeat, Time now, Effects &out);
void onVmListNews(ProxyState &state, const PeerMessage &message, const VmListNews &news, Time now, Effects &out);
/** Announces to the other proxies that this one is leaving, so that it receives no new work and owns no group. */
void announceLeaving(ProxyState &state, Time now, Effects &out);

/** Returns the owners of \p group in order of rank: the VMs with the highest rendezvous weights, spread over availability zones. Leaving VMs own nothing. */
std::vector<VmInfo> ownersOf(const ProxyState &state, const GroupId &group);
/** Sends \p body to \p to. A message to this proxy itself is processed before reduce() returns. */
void sendPeer(ProxyState &state, const VmInfo &to, PeerBody body, Effects &out);
/** Returns the VM with id \p id, or null if it is not known. */
const VmInfo *findVm(const ProxyState &state, VmId id);

} // namespace Figward
