/** \file
 * Defines the policies of database sessions that can be disabled individually, so that experiments can measure the effect of each.
 *
 * Each policy reduces the waits of clients or raises their success rate, but none is needed for correctness. Mechanisms that ensure correctness cannot be
 * disabled.
 */
#pragma once

namespace Figward {

/** Enabled policies; see the settings for which of them are enabled by default. */
struct SessionPolicies
{
    bool refusesWhenCutOff_ = true; ///< Refuses statements at once if no reachable member may run them; see CutOff.h.
    bool refusesByForecast_ = true; ///< Refuses statements at once if they are not expected to be served before their deadline; see WaitForecast.h.
    bool notReadyWhenCutOff_ = true; ///< Reports this VM as not ready while it is cut off.
    bool movesUnansweredReads_ = true; ///< Moves a read whose member does not answer to another member.
    bool keepsReserve_ = true; ///< Reserves half of the connections for statements that have waited; see ConnectionPlan.h.
    bool usesTemporaryConnections_ = true; ///< Uses temporary connections when connections are scarce; see ConnectionPlan.h.
    bool skipsLagging_ = true; ///< Avoids a replica for a short time after it refused a read as lagging.
    bool sharesLag_ = true; ///< Avoids a replica that refused a read of any VM as lagging far behind; see GroupAdvice.h.
    bool prefersOwnZone_ = true; ///< Prefers members of the VM's own availability zone; see StatementPlacement.h.
    bool poolsQuota_ = true; ///< One VM per zone enforces an organisation's rate for all VMs; if false, each VM has an equal share. See OrganisationQuota.h.
    bool admitsUrgentFirst_ = true; ///< Reserves quota of an organisation that is short of it for its most urgent operations; see PermitPriority.h.
    bool deprioritisesPrimary_ = true; ///< Slightly prefers replicas for reads, to leave the primary capacity for writes; see StatementPlacement.h.
    bool forwardsReads_ = true; ///< Forwards reads to the VM that keeps connections for their organisation; see ReadForwarding.h.
    bool sharesFairly_ = true; ///< Shares the members between organisations by their configured rates; see StatementQueue.h.
    bool ejectsOutliers_ = true; ///< Avoids members that fail or delay more statements than the others of their group; see OutlierEjection.h.
    bool shedsUnderPressure_ = true; ///< Limits the operations of less urgent priorities while those of a group wait too long; see GroupPressure.h.
    bool operator==(const SessionPolicies &) const = default;
};

} // namespace Figward
