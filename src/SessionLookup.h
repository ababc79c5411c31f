/** \file
 * Defines look-ups in the state of sessions, below everything that decides.
 */
#pragma once

#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** The group of that service, or null. */
SessionGroup *findGroup(ProxyState &state, const ServiceId &group);
/** The member of that id, or null. */
MemberState *findMember(ProxyState &state, const MemberId &member);
/** The connection of that id, or null. */
MemberConnection *findConnection(ProxyState &state, ConnectionId connection);
/** The session, or null if the client has closed it. */
ClientSession *findSession(ProxyState &state, SessionKey key);

} // namespace Figward
