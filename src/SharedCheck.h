/** \file
 * Defines checks of the store that one VM makes on behalf of all: the others learn from heartbeats when a check was made, and read from that VM's mirror what
 * is new to them.
 */
#pragma once

#include "Units.h"

#include <optional>

namespace Figward {

struct ProxyState;
struct SessionServiceState;

/** State of one kind of check. */
struct SharedCheck
{
    std::optional<Time> askedAt_; ///< Time of the last request by any VM that the store answered; what this VM knows is at least as recent.
    std::optional<Time> notBefore_; ///< Earliest time of this VM's own request; set while a check is due.
    unsigned failures_ = 0; ///< Consecutive failed requests of this VM.
};

/** Whether this VM must check the store now because no VM has done so for \p interval. */
bool isCheckDue(ProxyState &state, SharedCheck &check, Duration interval, Time now);
/** Records that a check by this VM was not answered. The delay before the next one grows, since many VMs retry while the store is unavailable. */
void recordCheckFailure(ProxyState &state, SharedCheck &check, Time now);
/** Records that the store answered a request that some VM made at \p askedAt, and that this VM knows its result. */
void recordCheck(SharedCheck &check, Time askedAt);
/** Whether this VM leads at least one group. */
bool leadsAnyGroup(const SessionServiceState &sessions);
/** Whether the fleet is large and this VM hears a leader, which makes the checks on its behalf. */
bool reliesOnLeaderChecks(const SessionServiceState &sessions, Time now);

} // namespace Figward
