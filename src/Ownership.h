/** \file
 * Defines how this proxy gains, updates and gives up the ownership of groups when the configuration or the list of VMs changes.
 */
#pragma once

#include "Effect.h"
#include "Units.h"

namespace Figward {

struct ProxyState;

/**
 * Brings the groups that this proxy owns in line with the configuration and the list of VMs. A group that it should no longer own is released once its
 * requests and transactions have ended. When the configuration of a group changes, the recorded state of its remaining members is kept.
 */
void refreshOwnership(ProxyState &state, Time now, Effects &out);

} // namespace Figward
