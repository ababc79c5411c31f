/** \file
 * Defines checks of the store that one VM makes for all: the others learn by heartbeat when it was made, and read from its mirror what is new to them.
 */
#pragma once

#include "Units.h"

#include <optional>

namespace Figward {

struct ProxyState;
struct SessionServiceState;

/** One kind of check. */
struct SharedCheck
{
    std::optional<Time> askedAt_; ///< When some VM last asked the store and had an answer; what this VM knows is at least as new.
    std::optional<Time> notBefore_; ///< This VM does not ask before; set while a check is due.
    unsigned failures_ = 0; ///< Of this VM, in a row.
};

/** Whether this VM must ask now, since nobody has done so for \p interval. */
bool isCheckDue(ProxyState &state, SharedCheck &check, Duration interval, Time now);
/** A check of this VM had no answer: many VMs ask a store that is away, so each waits longer every time. */
void noteCheckFailed(ProxyState &state, SharedCheck &check, Time now);
/** Some VM had an answer of the store to what it asked at \p askedAt, and this VM knows what was found. */
void noteChecked(SharedCheck &check, Time askedAt);
/** Whether this VM leads some group. */
bool leadsAny(const SessionServiceState &sessions);
/** Whether VMs are many, and this one hears a leader that reads for it. */
bool isReadFor(const SessionServiceState &sessions, Time now);

} // namespace Figward
