/** \file
 * Defines the heartbeats between VMs: signs of life, the word of leaders, positions of primaries, and the number of the configuration in force.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** A VM that was silent for this long is taken as unreachable. */
constexpr Duration peerSilence = std::chrono::milliseconds(1000);

/** Without the leader's word for this long, the store is asked for the claims. */
constexpr Duration leaderSilence = std::chrono::milliseconds(600);

/** Takes in a heartbeat. */
void onHeartbeatReceived(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out);
/** Sends heartbeats to all known VMs if they are due, or wanted at once. */
void sendHeartbeats(ProxyState &state, Time now, Effects &out);
/** Chooses anew which VMs are delegates, if that is due; see SessionServiceState::delegates_. */
void reviewDelegates(SessionServiceState &sessions, Time now);
/** Tells of VMs that were heard for the first time, if that is due. */
void tellNewVms(SessionServiceState &sessions, Time now, Effects &out);
/** Whether this VM is a delegate of its zone; never while VMs are few. */
bool isDelegate(const SessionServiceState &sessions);
/**
 * When \p heartbeat was sent, by this VM's clock; too late by no more than the least time that one of the sender's heartbeats has taken. What it tells of the past counts from then: it
 * may have waited, on a busy link or at a VM that stood still.
 */
Time sendingTime(const SessionServiceState &sessions, const VmHeartbeat &heartbeat, Time now);
/** Whether \p peer was heard lately. */
bool isFresh(const PeerVm &peer, Time now);

} // namespace Figward
