/** \file
 * Defines how this VM shares the members' connections with the other VMs: the plan of ConnectionPlan.h, filled from what is known of VMs and members.
 */
#pragma once

#include "ConnectionPlan.h"
#include "SessionState.h"

namespace Figward {

/** The plan for the connections to \p member at \p now. */
ConnectionPlan planFor(const SessionServiceState &sessions, const MemberState &member, Time now);
/** Chooses anew which members this VM stays connected to, if that is due; see SessionGroup::residences_. */
void reviewResidences(const SessionServiceState &sessions, SessionGroup &group, Time now);
/**
 * Whether this VM asks the group's primary for reports to know that it lives. Where connections are too few for all VMs, the leader does so for all: a
 * connection of each VM for that alone would take all that a member has.
 */
bool asksPrimary(const SessionServiceState &sessions, const SessionGroup &group);
/** VMs that share the members' connections: this one, and those that are registered and not known to be gone. */
unsigned countEntryVms(const SessionServiceState &sessions, Time now);

} // namespace Figward
