/** \file
 * Defines to whom news of the fleet spreads: to the next VM in the order of ids, which alone reaches every VM, and to a few random ones, which makes it fast.
 */
#pragma once

#include "Effect.h"
#include "Peer.h"

#include <vector>

namespace Figward {

struct ProxyState;

/** Up to \p count VMs: the next one in the order of ids, the others at random. */
std::vector<VmInfo> gossipTargets(ProxyState &state, unsigned count);
/** Sends \p body to the targets of a change: each VM passes a change on once, when it first learns of it. */
void spreadNews(ProxyState &state, const PeerBody &body, Effects &out);
/** A sign of life of this proxy; it carries the version of the configuration. */
Heartbeat ownHeartbeat(const ProxyState &state);
/** \p interval changed by up to a quarter either way, so that proxies that started together do not act together. */
Duration jittered(ProxyState &state, Duration interval);

} // namespace Figward
