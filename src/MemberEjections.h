/** \file
 * Defines how a VM takes part in the ejection of outliers: what it counts as evidence, what it decides as the leader, and how it avoids ejected members.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"
#include "StatementPlacement.h"

namespace Figward {

struct ProxyState;

/** Counts the reply of \p member to the statement of \p session. Only statements that other members may run as well are compared. */
void countReply(ProxyState &state, const ClientSession &session, const MemberId &member, ReplyCode code, Time now);
/** Counts that \p member did not answer the statement of \p session: its connection was lost, or the answer is overdue. */
void countMissingReply(ProxyState &state, const ClientSession &session, const MemberId &member, Time now);
/** Counts that a connection to \p member could not be opened, although the member was not full. */
void countFailedOpening(ProxyState &state, const MemberState &member, Time now);

/** As the leader of \p group, updates the ejections from what all VMs reported since the last update; returns the members to avoid. */
std::vector<EjectedMember> reviewEjections(ProxyState &state, SessionGroup &group, absl::Span<const MemberTotals> increases, Time now, Effects &out);

/**
 * Removes from \p candidates the members that the statement of \p session must not use because of an ejection or an earlier failure, unless no other reachable
 * member may run it, or none has room for it after a short wait. If the statement probes a member, only that is left.
 */
void withholdEjected(ProxyState &state, ClientSession &session, const SessionGroup &group, std::vector<PlacementCandidate> &candidates, Time now);
/** Closes the idle connections to \p member while it is ejected and not the primary. */
void closeEjected(ProxyState &state, const MemberState &member, Time now, Effects &out);
/** Whether the statement of \p session, which \p failed answered with an error, is tried at another member: only once, and only a single read. */
bool mayTryElsewhere(ProxyState &state, const ClientSession &session, const MemberId &failed, Time now);

} // namespace Figward
