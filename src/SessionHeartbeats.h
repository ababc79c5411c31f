/** \file
 * Defines the heartbeats between VMs: signs of life, statements of group leaders, log positions of primaries, and the active configuration's version.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Silence after which a VM is considered unreachable. */
constexpr Duration peerSilenceTimeout = std::chrono::milliseconds(1000);

/** Silence of a group's leader after which the claims are read from the store. */
constexpr Duration leaderSilenceTimeout = std::chrono::milliseconds(600);

/** Processes a received heartbeat. */
void onHeartbeatReceived(ProxyState &state, const VmHeartbeat &heartbeat, Time now, Effects &out);
/** Sends heartbeats to all known VMs for which one is due or was requested immediately. */
void sendHeartbeats(ProxyState &state, Time now, Effects &out);
/** Recomputes the delegates if that is due; see SessionServiceState::delegates_. */
void reviewDelegates(SessionServiceState &sessions, Time now);
/** Logs VMs that were heard for the first time, if that is due. */
void logNewVms(SessionServiceState &sessions, Time now, Effects &out);
/** Whether this VM is a delegate of its zone; always false in a small fleet, which has no delegates. */
bool isDelegate(const SessionServiceState &sessions);
/**
 * Time at which \p heartbeat was sent, by this VM's clock. The result is too late by at most the shortest transit time of any of the sender's heartbeats. Ages
 * stated in the heartbeat count from this time rather than from its arrival, since the heartbeat may have been delayed on a busy link or at a paused VM.
 */
Time sendingTime(const SessionServiceState &sessions, const VmHeartbeat &heartbeat, Time now);
/** Whether \p peer was heard within the silence timeout, given the interval of its heartbeats. */
bool wasHeardRecently(const PeerVm &peer, Time now);

} // namespace Figward
