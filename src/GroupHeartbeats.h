/** \file
 * Defines what heartbeats say about groups: the statements that a VM makes about a group, and their effect on a VM that receives them.
 */
#pragma once

#include "SessionState.h"

#include <vector>

namespace Figward {

struct ProxyState;

/** State of \p group as sent to other VMs. */
GroupHeartbeat describeGroup(ProxyState &state, const SessionGroup &group, Time now);
/**
 * Adds the groups that \p peer needs: those that it or this VM leads, resigned ones if the pair uses the short interval, and those for which this VM as a
 * delegate passes on authority while the leader is silent, if the peer is in its zone. With \p all, which is used in a small fleet, adds every group.
 */
void addGroups(VmHeartbeat &heartbeat, const PeerVm &peer, const std::vector<GroupHeartbeat> &groups, bool all);
/** Applies what \p heartbeat states about one group. */
void applyGroupHeartbeat(ProxyState &state, const VmHeartbeat &heartbeat, const GroupHeartbeat &beat, Time now);

} // namespace Figward
