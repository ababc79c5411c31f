/** \file
 * Defines how authority over a primary that leaves is given up.
 *
 * A leaving primary still works. A write that is under way there when its authority ends is in doubt for its client, although it would have been answered some
 * milliseconds later. So a VM starts no more statements at such a primary, and confirms the revocation when those under way have ended.
 */
#pragma once

#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Revokes the authority over the group's primary below \p epoch: at once, or if the primary is leaving, after the statements under way there. */
void revokePrimary(ProxyState &state, SessionGroup &group, std::uint64_t epoch, Time now);
/** Completes a deferred revocation if the statements have ended or have taken too long, so that the leader learns of it at once. */
void reviewDeferredRevocation(ProxyState &state, SessionGroup &group, Time now);
/** Whether this VM may start statements at the group's primary. */
bool mayStartAtPrimary(const SessionGroup &group, Time now);

} // namespace Figward
