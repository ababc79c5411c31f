/** \file
 * Defines how a group's leader replaces a primary that is lost or is leaving: it revokes the primary at all VMs, collects replication reports from the members,
 * and promotes the member that has received most of the log.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Continues the replacement in progress, or starts one if the primary is lost or is leaving. Requires that this VM leads the group. */
void reviewReplacement(ProxyState &state, SessionGroup &group, Time now, Effects &out);
/** Resumes a replacement that a previous leader may have begun: no primary may be used, and the members are surveyed once the revocation is complete. */
void resumeReplacement(SessionGroup &group, Time now);
/**
 * Time since the primary last answered any VM, according to this VM and the heartbeats of the others; no value if it never did. Requires that this VM leads the
 * group.
 */
std::optional<Duration> timeSincePrimaryHeard(ProxyState &state, const SessionGroup &group, Time now);
/** Processes the result of a promotion call. */
void onPromotionAnswered(ProxyState &state, const PromotionAnswered &answer, Time now, Effects &out);

} // namespace Figward
