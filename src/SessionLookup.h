/** \file
 * Defines look-ups in the session state, used by all session components.
 */
#pragma once

#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** The group of the service, or null if it is unknown. */
SessionGroup *findGroup(ProxyState &state, const ServiceId &group);
/** The member with this id, or null if it is unknown. */
MemberState *findMember(ProxyState &state, const MemberId &member);
/** The connection with this id, or null if there is none. */
MemberConnection *findConnection(ProxyState &state, ConnectionId connection);
/** The session of a client, or the one that represents a read of another VM; null if the client has closed it, or the read has been discarded. */
ClientSession *findSession(ProxyState &state, SessionKey key);

} // namespace Figward
