/** \file
 * Defines what a proxy asks of the platform's store and when: its configuration, the members, the other VMs, and the claims on groups.
 *
 * Calls are counted and priced, so that the ordinary way is cheap: a watch on the configuration, stale reads of the members with a fresh one now and then,
 * and the other VMs' word for the rest.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Makes a call to the store; its answer comes as StoreAnswered. */
CallId callStore(ProxyState &state, StoreRequest request, Time now, Effects &out, Freshness freshness = Freshness::Latest, std::string peer = {});
/** Makes the calls that are due. */
void reviewStoreReads(ProxyState &state, Time now, Effects &out);
/** A call has ended. */
void onStoreAnswered(ProxyState &state, const StoreAnswered &answer, Time now, Effects &out);
/** Some VM asked the store for its latest configuration at \p askedAt; this VM has that one, or learns its number by heartbeat. */
void noteConfigurationChecked(ProxyState &state, Time askedAt);
/** Another VM has a newer configuration: fetches it there. */
void askPeerForConfiguration(ProxyState &state, const std::string &address, Time now, Effects &out);
/** Reads the claims soon, at most every few hundred milliseconds. */
void wantClaims(ProxyState &state, Time now, Effects &out);
/** Reads the list of VMs now. */
void wantVms(ProxyState &state, Time now, Effects &out);

} // namespace Figward
