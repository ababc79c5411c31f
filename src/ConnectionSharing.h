/** \file
 * Defines how this VM shares the members' connections with the other VMs: it computes the plan of ConnectionPlan.h from the known VMs and members.
 */
#pragma once

#include "ConnectionPlan.h"
#include "SessionState.h"

namespace Figward {

/** The plan for the connections to \p member at \p now. */
ConnectionPlan planFor(const SessionServiceState &sessions, const MemberState &member, Time now);
/** Chooses again, if that is due, the members to which this VM keeps a persistent connection. */
void reviewPersistentMembers(const SessionServiceState &sessions, SessionGroup &group, Time now);
/**
 * Whether this VM polls the group's primary to learn whether it is alive. When connections are scarce, only the leader does so, on behalf of all VMs: one
 * connection per VM for that purpose would take up all connections of a member.
 */
bool probesPrimary(const SessionServiceState &sessions, const SessionGroup &group);
/** Number of VMs that share the members' connections: this one, and those from which a heartbeat was received recently. */
unsigned countEntryVms(const SessionServiceState &sessions, Time now);

} // namespace Figward
