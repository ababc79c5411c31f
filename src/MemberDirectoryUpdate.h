/** \file
 * Defines how a new member directory takes effect: members come, leave, go, and start again under the same id.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Takes \p directory in, unless a newer one is known. */
void updateDirectory(ProxyState &state, const MemberDirectory &directory, Time now, Effects &out);

/** Forgets members that the directory has not listed for a while. */
void reviewDirectory(ProxyState &state, Time now, Effects &out);

} // namespace Figward
