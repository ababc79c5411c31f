/** \file
 * Defines how a VM comes by the newest configuration: a watch of the store, checks that one VM makes for all, and reads from the VMs that have a newer one.
 *
 * A version is in force everywhere within seconds as long as some VM has it and is heard: no source is waited for alone.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Makes the calls that are due. */
void reviewConfigurationReads(ProxyState &state, Time now, Effects &out);
/** A read, a check or a watch of the configuration has ended. */
void onConfigurationAnswered(ProxyState &state, const StoreCallUnderWay &call, const StoreAnswered &answer, Time now, Effects &out);
/** Its answer has begun to arrive. */
void onStoreAnswerBegan(ProxyState &state, const StoreAnswerBegan &began, Time now);
/** Another VM says which configuration it has, and when some VM last compared that one with the store's. */
void noteConfigurationOf(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out);

} // namespace Figward
