/** \file
 * Defines the whole state of one proxy. It changes only in reduce().
 */
#pragma once

#include "Configuration.h"
#include "ConfigurationSync.h"
#include "Drain.h"
#include "Entry.h"
#include "ForwardWindow.h"
#include "GroupOwner.h"
#include "KeyTrim.h"
#include "Membership.h"
#include "PlatformClient.h"
#include "SessionState.h"
#include "Status.h"
#include "TimerService.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Figward {

/** What a process learns from its settings. */
struct ProxyIdentity
{
    VmInfo self_;
    std::vector<std::string> seeds_; ///< Addresses of proxies to ask when the platform cannot be reached.
};

/** State of one proxy. */
struct ProxyState
{
    ProxyIdentity identity_;
    std::mt19937_64 random_; ///< Seeded by the shell; the only source of randomness.
    TimerService timers_;
    WallClock wallClock_;
    std::optional<Time> armedAt_; ///< The wake-up that the shell was last asked for.
    Configuration configuration_;
    ConfigurationSyncState sync_;
    MembershipState membership_;
    PlatformClientState platform_;
    EntryState entry_;
    std::map<GroupId, GroupOwner> owners_; ///< Groups that this proxy owns, or still finishes work for.
    std::map<ControlId, OutstandingControl> controls_;
    std::map<ConnectionId, GroupId> connections_; ///< Which group a connection belongs to.
    std::map<VmId, ForwardWindow> forwards_; ///< Requests that came from each entry, this proxy's own among them.
    std::deque<PeerMessage> local_; ///< Messages of this proxy to itself, taken in before the present event ends.
    std::set<GroupId> dirty_; ///< Groups to dispatch before the present event ends.
    std::uint64_t nextId_ = 1; ///< For connections, statements, control calls and probe rounds.
    StatusState status_;
    DrainState drain_;
    std::optional<SessionServiceState> sessions_; ///< Set in a process that serves database sessions.
};

/** A proxy that has not started. Equal arguments give equal runs. */
ProxyState makeProxyState(ProxyIdentity identity, std::uint64_t seed);
/** A number not used before in this process. */
std::uint64_t takeId(ProxyState &state);
/** The owned group \p group, or null. */
GroupOwner *findOwner(ProxyState &state, const GroupId &group);

} // namespace Figward
