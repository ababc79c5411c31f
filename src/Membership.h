/** \file
 * Defines what this proxy knows of the other proxies, and which of them own a group.
 *
 * Each VM polls the platform's list at a pace that falls with the size of the fleet, and passes on what it finds changed: together they poll about ten times
 * a second, and a change that one has seen reaches all.
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

/** How much proxies tell each other; the defaults are those measured in docs/MEASUREMENTS.md. */
struct FleetTuning
{
    unsigned watchersPerZone_ = 2; ///< VMs that watch the manifest on the platform.
    unsigned newsFanOut_ = 3; ///< VMs that are told of a change by each that learns of it.
    unsigned heartbeatFanOut_ = 2; ///< VMs that get each heartbeat.
    Duration heartbeatInterval_ = std::chrono::seconds(1);
    Duration shortestPoll_ = std::chrono::seconds(2);
    Duration pollPerVm_ = std::chrono::milliseconds(100); ///< The poll interval is this times the number of VMs.
};

/** The proxies known here, from the platform's lagging list or from a peer. */
struct MembershipState
{
    std::vector<VmInfo> vms_; ///< Ordered by id; this proxy is always among them.
    std::map<VmId, Time> gone_; ///< VMs that left the list, and when: late news must not bring them back.
    std::map<VmId, Time> introduced_; ///< VMs that peers named and the platform's list lacks so far, and when.
    std::map<GroupId, std::vector<VmInfo>> owners_; ///< ownersOf() for the present list; filled by refreshOwnership().
    bool smallListSeen_ = false; ///< The last list lacked most of the VMs known; it counts when a second one agrees.
    bool platformAway_ = false; ///< The last call for the list failed.
    Time heardAt_; ///< When the last message of a peer arrived.
    FleetTuning tuning_;
};

/** Begins to follow the list of VMs. */
void startMembership(ProxyState &state, Time now, Effects &out);
/** Subscriber of Membership. */
void onMembershipTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
void onVmListAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out);
void onHeartbeat(ProxyState &state, const PeerMessage &message, const Heartbeat &heartbeat, Time now, Effects &out);
void onVmListNews(ProxyState &state, const PeerMessage &message, const VmListNews &news, Time now, Effects &out);
/** Tells the other proxies that this one is leaving, so that it gets no new work and owns nothing. */
void announceLeaving(ProxyState &state, Time now, Effects &out);

/** The owners of \p group, first in rank first: the k highest by rendezvous hash, spread over availability zones; leaving VMs own nothing. */
std::vector<VmInfo> ownersOf(const ProxyState &state, const GroupId &group);
/** Sends \p body to \p to; a message to this proxy itself is taken in before the present event ends. */
void sendPeer(ProxyState &state, const VmInfo &to, PeerBody body, Effects &out);
/** The VM with id \p id, or null. */
const VmInfo *findVm(const ProxyState &state, VmId id);

} // namespace Figward
