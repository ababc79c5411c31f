/** \file
 * Defines the connections to members: opened for statements that wait, lent to one session at a time, and never reused once their state is unclear.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;
struct ConnectionLost;

/** Asks for one more connection to \p member, for statements of \p organisation. */
void openStatementConnection(ProxyState &state, MemberState &member, const OrganisationId &organisation, Time now, Effects &out);
/** Closes the idle connection to \p member that has rested longest, of those for other organisations than \p organisation; false if there is none. */
bool closeOldestOfOthers(ProxyState &state, const MemberState &member, const OrganisationId &organisation, Effects &out);
/** A connection that was asked for is ready. */
void onMemberConnected(ProxyState &state, ConnectionId connection, Time now, Effects &out);
/** A connection is gone, or never was. */
void onMemberDisconnected(ProxyState &state, const ConnectionLost &lost, Time now, Effects &out);
/** A member answered. */
void onMemberReply(ProxyState &state, const MemberReplyArrived &replied, Time now, Effects &out);
/** Sends the next step of a connection. */
void sendNextStep(ProxyState &state, MemberConnection &connection, Time now, Effects &out);
/** Closes a connection and forgets it; what was under way on it stays unanswered. */
void closeMemberConnection(ProxyState &state, ConnectionId connection, Effects &out);
/** Takes a connection from its session; it rolls back what is open and then is idle, or is closed if an answer is outstanding. */
void releaseMemberConnection(ProxyState &state, ConnectionId connection, Time now, Effects &out);
/** Asks a member for a report of itself, at most once at a time. */
void askMemberReport(ProxyState &state, MemberState &member, Time now, Effects &out);
/** Tells a primary of a term below \p term to become a replica. */
void askStepDown(ProxyState &state, MemberState &member, Term term, Time now, Effects &out);
/** Closes what has been silent for too long, and connections to members that are gone. */
void reviewMemberConnections(ProxyState &state, Time now, Effects &out);
/** Whether the member did not answer what this VM asked of it last: reads go elsewhere, and it is asked for a sign of life until it gives one. */
bool isInDoubt(const MemberState &member);

} // namespace Figward
