/** \file
 * Defines the choice of a member for a statement, as a function of the load and state of each member.
 *
 * It is designed for many small reads over members at different distances and in different states. Statements go to the member with the fewest active
 * statements of this VM; a member of the VM's own zone is preferred while it is not busier than the others; members that lag, leave or are unavailable come
 * last.
 */
#pragma once

#include "ConnectionPlan.h"
#include "Ids.h"

#include <absl/types/span.h>
#include <optional>

namespace Figward {

/** One member that may run a statement. */
struct PlacementCandidate
{
    MemberId member_;
    unsigned activeStatements_ = 0; ///< Number of statements of this VM that the member is running.
    bool sameZone_ = false;
    bool leaving_ = false;
    bool lagging_ = false; ///< Recently refused a read because its log did not reach this position or an earlier one.
    bool ejected_ = false; ///< Ejected as an outlier, or being probed after that; see OutlierEjection.h.
    bool unavailable_ = false; ///< Unresponsive or unreachable, or recently refused a connection.
    bool primary_ = false;
    bool deprioritised_ = false; ///< The primary: other members are slightly preferred, to leave it capacity for statements that only it may run.
    bool temporaryConnections_ = false; ///< This VM has no share of the member's connections and uses temporary ones; see ConnectionPlan.h.
    bool idleConnection_ = false;
    bool mayOpen_ = false; ///< This VM may open another connection to the member.
};

/** Decision for a statement. */
struct Placement
{
    std::optional<MemberId> run_; ///< Run it on an idle connection to this member.
    std::optional<MemberId> open_; ///< Open a connection to this member; if run_ is absent, the statement waits for it.
};

/** Chooses among \p candidates, all of which may run the statement. */
Placement placeStatement(absl::Span<const PlacementCandidate> candidates);

/** Maximum number of connections of this VM to one member for a statement that has waited for \p waited; at first only as many as may stay open while idle. */
unsigned connectionsAllowed(const ConnectionPlan &plan, Duration waited);

} // namespace Figward
