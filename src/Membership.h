/** \file
 * Defines what this proxy knows of the other proxies, and which of them own a group.
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

/** The proxies known here, from the platform's lagging list or from a peer. */
struct MembershipState
{
    std::vector<VmInfo> vms_; ///< Ordered by id; this proxy is always among them.
};

/** Begins to follow the list of VMs. */
void startMembership(ProxyState &state, Time now, Effects &out);
/** Subscriber of Membership. */
void onMembershipTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
void onVmListAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out);
void onHeartbeat(ProxyState &state, const PeerMessage &message, const Heartbeat &heartbeat, Time now, Effects &out);
void onVmListNews(ProxyState &state, const PeerMessage &message, const VmListNews &news, Time now, Effects &out);

/** The owners of \p group, first in rank first: the k highest by rendezvous hash, spread over availability zones; leaving VMs own nothing. */
std::vector<VmInfo> ownersOf(const ProxyState &state, const GroupId &group);
/** Begins and ends owning groups after the configuration or the list of VMs changed. */
void refreshOwnership(ProxyState &state, Time now, Effects &out);
/** Sends \p body to \p to; a message to this proxy itself is taken in before the present event ends. */
void sendPeer(ProxyState &state, const VmInfo &to, PeerBody body, Effects &out);
/** The VM with id \p id, or null. */
const VmInfo *findVm(const ProxyState &state, VmId id);

} // namespace Figward
