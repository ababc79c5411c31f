/** \file
 * Defines how all VMs together keep each organisation within its rate and its burst.
 *
 * It answers the load pattern of many organisations at many VMs: most pairs see an operation every few seconds, so that fixed parts of a small rate would refuse
 * most of what is allowed. In each availability zone one VM, the organisation's limiter there, holds the zone's part of the rate as a bucket of tokens. Other VMs ask
 * it by datagram for each operation, or for all that came while an answer was under way. A limiter that runs short borrows from those of other zones, so that the
 * zones' parts follow the demand. Tokens are only moved, never made: what is lost on the way, or with a VM, is not granted again, and a zone that is cut off
 * has its own part.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Lets the first statement of an operation join those that wait for a member, as soon as its organisation's quota admits it; refuses it if it does not. */
void admitOperation(ProxyState &state, ClientSession &session, Time now, Effects &out);
/** Whether the statement of \p session waits for its organisation's quota to admit it. */
bool waitsForPermit(const SessionServiceState &sessions, const ClientSession &session);
/** The statement of \p session needs no permit any more. */
void leaveAdmission(SessionServiceState &sessions, const ClientSession &session);
/** Another VM asks for permits: for its clients' operations, or, as a limiter of another zone, for its bucket. */
void onAdmissionRequest(ProxyState &state, const AdmissionRequest &request, Time now, Effects &out);
/** A limiter has answered. */
void onAdmissionGrant(ProxyState &state, const AdmissionGrant &grant, Time now, Effects &out);
/** Asks again where no answer came, asks for what was to wait a moment, and tells which organisations are within their quota again. */
void reviewAdmission(ProxyState &state, Time now, Effects &out);

/** Name of the VM that limits the organisation in \p zone, as far as this VM knows; empty if it knows none there. */
std::string limiterOf(const SessionServiceState &sessions, const ZoneId &zone, const OrganisationId &organisation, Time now);

} // namespace Figward
