/** \file
 * Defines which groups a VM keeps track of in a large fleet, and which VM it asks for authority over one.
 *
 * With hundreds of VMs and groups, a VM meets a given group once in minutes. If each leader renewed the authority of all VMs, the heartbeats would grow with the
 * product of VMs and leaders, and the work of each VM with the number of groups. So a VM *follows* a group only while clients use it there: it then asks the
 * group's leader, which answers with authority and a log position, and asks again as long as it follows the group.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

#include <vector>

namespace Figward {

struct ProxyState;

/** Whether this VM keeps its authority over the group's primary: in a large fleet, only while clients use the group. */
bool isFollowed(const SessionServiceState &sessions, const SessionGroup &group, Time now);
/** Records that a client's statement uses the group, and asks its leader for authority if this VM did not follow it. */
void recordGroupUse(ProxyState &state, SessionGroup &group, Time now);
/** Name of the VM to ask for authority over the group; empty if this VM is first in the order of leaders itself, or none is known. */
std::string leaderToAsk(const ProxyState &state, const SessionGroup &group, Time now);
/** Asks the leaders of the groups that this VM follows, if that is due. */
void askLeaders(ProxyState &state, Time now);
/** Notes the VM that \p beat, sent by \p sender, states to be the leader, and asks it if this VM waits for authority. */
void recordLeaderName(ProxyState &state, SessionGroup &group, const GroupHeartbeat &beat, const std::string &sender, Time now);
/** Whether the group's leader, as far as this VM knows it, is a running VM. */
bool isLedElsewhere(const SessionServiceState &sessions, const SessionGroup &group, Time now);
/** Chooses the tracked groups again; see SessionServiceState::trackedGroups_. Delegates track the groups that have no leader, and read their claims. */
void reviewTrackedGroups(ProxyState &state, Time now, Effects &out);
/** Calls \p visit for each group to review: the tracked ones in a large fleet, all in others. \p visit may add tracked groups. */
template<typename Sessions, typename Visit>
void forEachReviewedGroup(Sessions &sessions, Visit visit)
{
    if (sessions.onDemand_) {
        for (const ServiceId &id : sessions.trackedGroups_) {
            visit(sessions.groups_.at(id));
        }
        return;
    }
    for (auto &[id, group] : sessions.groups_) {
        visit(group);
    }
}
/** Rank of \p vm in the order in which VMs lead \p group; a higher one comes first. */
struct LeaderRank
{
    bool otherZone_ = false; ///< Outside of the primary's zone, so that one cut does not take both.
    std::optional<DelegateRole> role_;
    std::uint64_t weight_ = 0;
    auto operator<=>(const LeaderRank &) const = default;
};
LeaderRank leaderRankOf(const ProxyState &state, const SessionGroup &group, const EntryVm &vm);

} // namespace Figward
