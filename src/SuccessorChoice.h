/** \file
 * Defines which member of a group becomes its primary when the current one is replaced.
 *
 * The member that has received most of the log is promoted. A member that leaves would have to be replaced again soon, so it is promoted only if those that stay
 * may lack acknowledged commits. In groups with synchronous replicas any commit that some replica has received may have been acknowledged.
 *
 * A primary that was cut off and replaced, and its replicas, may hold commits that were given up when the next term began. Clients have been served without
 * them since, so such a member is not promoted before it has followed a later primary and dropped them.
 */
#pragma once

#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Report of \p member from the current survey; null if there is none. */
const ReplicationReport *currentReport(const LeaderState &leader, const MemberState &member);
/** End of the log with which the term of the primary that sent \p report began; absent if commits of that term hide it. */
std::optional<LogPoint> termStartOf(const ReplicationReport &report);
/** Whether some member other than the primary could be promoted. */
bool hasCandidates(ProxyState &state, const SessionGroup &group);
/**
 * Whether a leaving primary may be replaced now: a member that stays keeps up with it. In groups without synchronous replicas one that is behind suffices after
 * some seconds, since the primary ends soon.
 */
bool isSuccessorReady(ProxyState &state, const SessionGroup &group, Time now);
/** Requests reports from the members that stay, from which isSuccessorReady() is determined. */
void requestSuccessorReports(ProxyState &state, const SessionGroup &group, Time now, Effects &out);
/** Member that is already primary according to the survey: one that a previous leader promoted, or the old primary if it holds everything it acknowledged. */
const MemberState *findCurrentPrimary(ProxyState &state, const SessionGroup &group);
/** Member to promote according to the survey; null as long as waiting for further reports, or for the last commits of a leaving primary, may change the choice. */
const MemberState *chooseSuccessor(ProxyState &state, const SessionGroup &group, Time now);

} // namespace Figward
