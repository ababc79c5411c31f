/** \file
 * Defines how an update of the member directory takes effect: members are added, leave, are removed, or are restarted under the same id.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Applies \p directory, unless a newer one is known. */
void updateDirectory(ProxyState &state, const MemberDirectory &directory, Time now, Effects &out);

/** Removes members that have been missing from the directory for a while. */
void removeMissingMembers(ProxyState &state, Time now, Effects &out);

} // namespace Figward
