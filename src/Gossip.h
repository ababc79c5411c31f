/** \file
 * Defines gossip between proxies. An update goes to the next VM in the order of ids, which is sufficient for it to reach every VM, and to a few random VMs,
 * which makes it spread quickly.
 */
#pragma once

#include "Effect.h"
#include "Peer.h"

#include <vector>

namespace Figward {

struct ProxyState;

/** Returns up to \p count VMs: the next one in the order of ids, and others at random. */
std::vector<VmInfo> gossipTargets(ProxyState &state, unsigned count);
/** Sends \p body, an update, to the gossip targets. Each VM passes an update on once, when it first receives it. */
void gossipUpdate(ProxyState &state, const PeerBody &body, Effects &out);
/** Returns a heartbeat of this proxy. As every peer message, it is sent with the version of the configuration. */
Heartbeat makeHeartbeat(const ProxyState &state);
/** Returns \p interval with a random jitter of up to a quarter either way, so that proxies that started together do not stay synchronised. */
Duration jittered(ProxyState &state, Duration interval);

} // namespace Figward
