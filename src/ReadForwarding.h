/** \file
 * Defines the forwarding of reads to the VM of this zone that keeps connections for their organisation, the connection holder.
 *
 * It is designed for many VMs and organisations with few connections to each member. A connection belongs to one organisation, so if each VM used connections
 * of its own, nearly every statement would open one. A single read is therefore sent by datagram to the holder of its organisation and group, which runs it on
 * a connection that it keeps open, under its own authority and log positions, and answers by datagram. A read may run twice, so the loss of a datagram is
 * harmless: if the holder does not answer, or cannot serve the read, the sender runs it as it would without a holder.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Whether reads of the service are forwarded: the configuration has organisations, connections are scarce, and this VM's zone has another VM. */
bool forwardsReads(const SessionServiceState &sessions, const ServiceId &service);

/** Forwards the statement of \p session, if it is a read that the connection holder of its organisation should run. Returns true if it was forwarded. */
bool forwardRead(ProxyState &state, ClientSession &session, Time now, Effects &out);
/** Repeats the read of the session if its holder has not answered in time; after the repeat, queues the read for a member of this VM. */
void onForwardTimeout(ProxyState &state, SessionKey key, Time now, Effects &out);
/** Handles the answer of a connection holder. */
void onForwardedReadResult(ProxyState &state, const ForwardedReadResult &result, Time now, Effects &out);
/** Forgets the forwarded read of \p run, which has ended; a result that arrives later is ignored. */
void endForward(SessionServiceState &sessions, const StatementRun &run);

/** Handles a read of another VM: runs it, refuses it, or repeats the result of an earlier copy of the same request. */
void onForwardedRead(ProxyState &state, const ForwardedRead &read, Time now, Effects &out);
/** Ends the forwarded read of \p session, which represents a read of another VM, with \p reply. */
void answerForwardedRead(ProxyState &state, const ClientSession &session, SessionReply reply, Time now, Effects &out);
/** Ends the forwarded read of \p session as not served; it must not be sent to a member. */
void refuseForwardedRead(ProxyState &state, ClientSession &session, Time now, Effects &out);
/** Whether reads of other VMs are running at this one. */
bool runsForwardedReads(const SessionServiceState &sessions);
/** Discards results that were kept long enough. */
void reviewForwardedReads(SessionServiceState &sessions, Time now);

} // namespace Figward
