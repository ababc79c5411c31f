/** \file
 * Defines the policies of database sessions that can be switched off one by one, so that an experiment shows what each is worth.
 *
 * Each makes callers wait less or succeed more often; none is needed for a promise to hold. Safeguards of promises have no switch.
 */
#pragma once

namespace Figward {

/** Policies that are on; all of them in service. */
struct SessionPolicies
{
    bool refusesWhenCutOff_ = true; ///< Statements that no member reached may run are refused at once; see CutOff.h.
    bool refusesByForecast_ = true; ///< Statements that are not likely to be served in time are refused at once; see WaitForecast.h.
    bool unlistsWhenCutOff_ = true; ///< A VM that is cut off says that it is not ready.
    bool movesSilentReads_ = true; ///< A read whose member falls silent runs at another.
    bool leavesRoom_ = true; ///< Half of the connections are for statements that have waited; see ConnectionPlan.h.
    bool visits_ = true; ///< Where VMs have no share of the connections they visit members; see ConnectionPlan.h.
    bool pausesLagging_ = true; ///< A replica that refused a read as lagging is passed over for a moment.
    bool prefersOwnZone_ = true; ///< Members of the own availability zone are preferred; see StatementPlacement.h.
    bool poolsQuota_ = true; ///< An organisation's rate is held by one VM of each zone for all; otherwise each VM has an equal part. See OrganisationQuota.h.
    bool sparesPrimary_ = true; ///< Reads leave the primary a little room; see StatementPlacement.h.
    bool operator==(const SessionPolicies &) const = default;
};

} // namespace Figward
