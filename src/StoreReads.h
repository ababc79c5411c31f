/** \file
 * Defines what a proxy reads from the platform's store and when: the members, the other VMs and the claims on groups. For the configuration see
 * ConfigurationReads.h.
 *
 * Store calls are counted and charged for, so the normal case is cheap: one VM reads the configuration and the members on behalf of all VMs that receive its
 * heartbeats. The others learn the result's version from heartbeats and fetch from that VM's mirror only what is new to them. If each of 77 VMs read the
 * members every 0.9 s and watched the configuration, the store would receive about 2,700 calls in 48 s, even on a day without any change.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Calls the store, or the peer that \p source names; the answer arrives as StoreAnswered. */
CallId callStore(ProxyState &state, StoreRequest request, Time now, Effects &out, const StoreSource &source = {});
/** Address of a random VM to read from instead of the store: one that was heard recently, or else a seed; empty if there is none. */
std::string chooseReadPeer(ProxyState &state, Time now);
/** Makes all store calls that are due. */
void reviewStoreReads(ProxyState &state, Time now, Effects &out);
/** Processes the result of a call. */
void onStoreAnswered(ProxyState &state, const StoreAnswered &answer, Time now, Effects &out);
/**
 * Processes another VM's statement of the member directory it knows and of the time at which any VM last read it from the store. Fetches the directory from
 * that VM if it is newer than the one known here.
 */
void onDirectoryReported(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out);
/** Reads the claims from the store, unless a read is in flight or the last one was only a few hundred milliseconds ago. */
void requestClaims(ProxyState &state, Time now, Effects &out);
/** Reads the claim on \p group, unless that was done a moment ago. */
void requestClaim(ProxyState &state, SessionGroup &group, Time now, Effects &out);
/** Reads the list of VMs from the store at once. */
void requestVmList(ProxyState &state, Time now, Effects &out);

} // namespace Figward
