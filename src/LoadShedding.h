/** \file
 * Defines how this VM limits operations while a group is under pressure: it reports the waits of statements, sets the levels as the leader, refuses operations
 * above the level, and spares members that are full.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/**
 * Counts the wait of the operation's first statement, which is sent for the first time or refused without having been sent, from its arrival or its permit.
 * Waits during which this VM could not use the members for another reason than their load are left out.
 */
void recordWait(ProxyState &state, ClientSession &session, Time now);
/** Refuses the first statement of an operation that the level of its pool does not admit. Returns true if it was refused. */
bool refuseIfShed(ProxyState &state, ClientSession &session, Time now, Effects &out);
/** As the leader of \p group, adds \p increases of the observations of all VMs and sets the levels in \p advice. */
void adviseLevels(const SessionServiceState &sessions, SessionGroup &group, const GroupObservations &increases, GroupAdvice &advice, Time now, Effects &out);

/** Whether the leader's advice limits operations of \p group. */
bool isUnderPressure(const SessionServiceState &sessions, const SessionGroup &group, Time now);
/** Whether a read of \p session that a replica may serve leaves the primary to statements that only it may run. */
bool leavesPrimary(const SessionServiceState &sessions, const SessionGroup &group, const ClientSession &session, Time now);
/** Earliest time at which a connection to \p member may be opened for \p session. */
Time openingAllowedAt(const SessionServiceState &sessions, const SessionGroup &group, const MemberState &member, const ClientSession &session, Time now);
/** Whether another connection to \p member may be opened now, besides those that are being opened. */
bool mayOpenAnother(const SessionServiceState &sessions, const SessionGroup &group, const MemberState &member, Time now);
/** Delays further connection attempts at \p member, which refused one as full after a pause of \p backoff, if its group is under pressure. */
void recordFullRefusal(const SessionServiceState &sessions, MemberState &member, Duration backoff, Time now);

} // namespace Figward
