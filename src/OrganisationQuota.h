/** \file
 * Defines the enforcement of each organisation's rate and burst limits across all VMs.
 *
 * It is designed for many organisations at many VMs. Most combinations of organisation and VM see one operation every few seconds, so splitting a small rate
 * into fixed shares per VM would refuse most of the operations that the limit allows. Instead, one VM per availability zone, the organisation's limiter in that
 * zone, holds the zone's share of the rate as a token bucket. Other VMs request permits from it by datagram, for one operation or for all that arrived while an
 * earlier request was pending. A limiter that is short of tokens borrows from the limiters of other zones, so that the shares follow the demand. Tokens are
 * only transferred, never created: tokens lost with a datagram or a VM are not granted again, and a zone that is cut off has only its own share.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Queues the first statement of an operation for a member as soon as the quota of its organisation admits it; refuses the statement otherwise. */
void admitOperation(ProxyState &state, ClientSession &session, Time now, Effects &out);
/** Whether the statement of \p session waits for a permit of its organisation. */
bool isAwaitingPermit(const SessionServiceState &sessions, const ClientSession &session);
/** Removes the statement of \p session from those that wait for a permit. */
void cancelAdmission(SessionServiceState &sessions, const ClientSession &session);
/** Handles a request of another VM: for permits for its clients' operations, or, from a limiter of another zone, for a loan of tokens. */
void onAdmissionRequest(ProxyState &state, const AdmissionRequest &request, Time now, Effects &out);
/** Handles the answer of a limiter. */
void onAdmissionGrant(ProxyState &state, const AdmissionGrant &grant, Time now, Effects &out);
/** Retries requests that timed out, sends requests whose delay has expired, and logs which organisations are within their quota again. */
void reviewAdmission(ProxyState &state, Time now, Effects &out);

/** Name of the VM that this VM assumes to be the organisation's limiter in \p zone; empty if it knows no VM there. */
std::string limiterOf(const SessionServiceState &sessions, const ZoneId &zone, const OrganisationId &organisation, Time now);

} // namespace Figward
