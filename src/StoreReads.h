/** \file
 * Defines what a proxy asks of the platform's store and when: the members, the other VMs, and the claims on groups; of the configuration see ConfigurationReads.h.
 *
 * Calls are counted and priced, so that the ordinary way is cheap: one VM reads the configuration and the members for all that hear it, the others learn by
 * heartbeat what was found and fetch from its mirror what is new to them. At 77 VMs that each read the members every 0.9 s, and watched the
 * configuration, some 2,700 calls in 48 s went to the store of a day on which nothing happened.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Makes a call to the store; its answer comes as StoreAnswered. */
CallId callStore(ProxyState &state, StoreRequest request, Time now, Effects &out, const StoreSource &source = {});
/** Address of a VM to ask in place of the store: one that was heard lately, or else a seed; empty if there is none. */
std::string somePeer(ProxyState &state, Time now);
/** Makes the calls that are due. */
void reviewStoreReads(ProxyState &state, Time now, Effects &out);
/** A call has ended. */
void onStoreAnswered(ProxyState &state, const StoreAnswered &answer, Time now, Effects &out);
/** Another VM says which members it knows, and when some VM last asked the store for them: fetches them there if they are others than known here. */
void noteDirectoryOf(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out);
/** Reads the claims soon, at most every few hundred milliseconds. */
void wantClaims(ProxyState &state, Time now, Effects &out);
/** Reads the list of VMs now. */
void wantVms(ProxyState &state, Time now, Effects &out);

} // namespace Figward
