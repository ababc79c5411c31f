/** \file
 * Defines how a VM obtains the newest configuration: by a watch on the store, by checks that one VM makes on behalf of all, and by reads from VMs that have a
 * newer one.
 *
 * A version becomes active on every VM within seconds as long as one VM has it and is heard: no VM waits for a single source only.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Makes all configuration calls that are due. */
void reviewConfigurationReads(ProxyState &state, Time now, Effects &out);
/** Processes the result of a read, a check or a watch of the configuration. */
void onConfigurationAnswered(ProxyState &state, const PendingStoreCall &call, const StoreAnswered &answer, Time now, Effects &out);
/** Records that the answer to a call has begun to arrive. */
void onStoreAnswerBegan(ProxyState &state, const StoreAnswerBegan &began, Time now);
/** Processes another VM's statement of the configuration it has and of the time at which any VM last compared that one with the store's. */
void onConfigurationReported(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out);

} // namespace Figward
