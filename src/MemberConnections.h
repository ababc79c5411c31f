/** \file
 * Defines the connections to members. They are opened for waiting statements, assigned to one session at a time, and closed once their state is unknown.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;
struct ConnectionLost;

/** Opens another connection to \p member for statements of \p organisation; returns its id. */
ConnectionId openStatementConnection(ProxyState &state, MemberState &member, const OrganisationId &organisation, Time now, Effects &out);
/** Closes the connection to \p member that has been idle longest among those for other organisations than \p organisation. Returns false if there is none. */
bool closeOldestOfOthers(ProxyState &state, const MemberState &member, const OrganisationId &organisation, Effects &out);
/** Handles the completed opening of a connection. */
void onMemberConnected(ProxyState &state, ConnectionId connection, Time now, Effects &out);
/** Handles the loss of a connection, or a failed attempt to open one. */
void onMemberDisconnected(ProxyState &state, const ConnectionLost &lost, Time now, Effects &out);
/** Handles an answer of a member. */
void onMemberReply(ProxyState &state, const MemberReplyArrived &replied, Time now, Effects &out);
/** Sends the next queued request of a connection unless one is pending. */
void sendNextStep(ProxyState &state, MemberConnection &connection, Time now, Effects &out);
/** Closes a connection and removes its state; a pending request on it remains unanswered. */
void closeMemberConnection(ProxyState &state, ConnectionId connection, Effects &out);
/**
 * Releases a connection from its session. An open transaction is rolled back, and the connection becomes idle. If a request is pending, the connection is
 * closed, unless that request is a statement outside a transaction: the connection then becomes idle once it is answered.
 */
void releaseMemberConnection(ProxyState &state, ConnectionId connection, Time now, Effects &out);
/** Requests a report from a member, unless such a request is pending. */
void askMemberReport(ProxyState &state, MemberState &member, Time now, Effects &out);
/** Requests that a primary of a term below \p term become a replica. */
void askStepDown(ProxyState &state, MemberState &member, Term term, Time now, Effects &out);
/** Closes connections that time out, connections to members that no longer exist, and surplus idle connections. */
void reviewMemberConnections(ProxyState &state, Time now, Effects &out);
/** Whether the member did not answer the last request or connection attempt of this VM. Other members are then preferred, and it is polled until it answers. */
bool isUnavailable(const MemberState &member);

} // namespace Figward
