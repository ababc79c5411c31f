/** \file
 * Defines the complete state of one proxy. Only reduce() modifies it.
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

/** Identity of a process, read from its settings. */
struct ProxyIdentity
{
    VmInfo self_;
    std::vector<std::string> seeds_; ///< Addresses of proxies to contact when the platform is unreachable.
};

/** State of one proxy. */
struct ProxyState
{
    ProxyIdentity identity_;
    std::mt19937_64 random_; ///< Seeded by the shell; the only source of randomness.
    TimerService timers_;
    WallClock wallClock_;
    std::optional<Time> armedAt_; ///< Time of the wake-up last requested from the shell.
    Configuration configuration_;
    ConfigurationSyncState sync_;
    MembershipState membership_;
    PlatformClientState platform_;
    EntryState entry_;
    std::map<GroupId, GroupOwner> owners_; ///< Groups that this proxy owns, and former ones whose remaining work has not finished.
    std::map<ControlId, OutstandingControl> outstandingControls_;
    std::map<ConnectionId, GroupId> connections_; ///< Group that each connection belongs to.
    std::map<VmId, ForwardWindow> forwardWindows_; ///< Requests received from each entry, including those of this proxy itself.
    std::deque<PeerMessage> localMessages_; ///< Messages of this proxy to itself; processed before reduce() returns.
    std::set<GroupId> groupsToDispatch_; ///< Groups whose queues are dispatched before reduce() returns.
    std::uint64_t nextId_ = 1; ///< Next id for connections, statements, control calls, probe rounds and similar items.
    StatusState status_;
    DrainState drain_;
    std::optional<SessionServiceState> sessions_; ///< Set in a process that serves database sessions.
};

/** Returns the state of a proxy that has not started. Equal arguments give identical runs. */
ProxyState makeProxyState(ProxyIdentity identity, std::uint64_t seed);
/** Returns an id that has not been used before in this process. */
std::uint64_t allocateId(ProxyState &state);
/** Returns the owner state of \p group, or null if this proxy holds none. */
GroupOwner *findOwner(ProxyState &state, const GroupId &group);

} // namespace Figward
