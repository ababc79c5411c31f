/** \file
 * Defines how this proxy begins, changes and ends to own groups when the configuration or the list of VMs changes.
 */
#pragma once

#include "Effect.h"
#include "Units.h"

namespace Figward {

struct ProxyState;

/**
 * Compares what this proxy owns with what it should own. A group that it no longer owns is let go once its requests and transactions have ended; a group whose
 * configuration changed keeps all that is known of the members that stay.
 */
void refreshOwnership(ProxyState &state, Time now, Effects &out);

} // namespace Figward
