/** \file
 * Defines the choice of a member for a statement, from plain figures about each member.
 *
 * It answers the load pattern of many small reads over members of unequal distance and state: work goes where this VM has least outstanding, a member of
 * its own zone is preferred while it is not busier than the others, and members that lag, leave or fell silent come last.
 */
#pragma once

#include "ConnectionPlan.h"
#include "Ids.h"

#include <absl/types/span.h>
#include <optional>

namespace Figward {

/** One member that may run a statement. */
struct PlacementOption
{
    MemberId member_;
    unsigned busy_ = 0; ///< Statements of this VM that it runs.
    bool sameZone_ = false;
    bool leaving_ = false;
    bool lagging_ = false; ///< Refused a read at this position, or an earlier one, a moment ago.
    bool suspect_ = false; ///< Fell silent or cannot be reached.
    bool primary_ = false;
    bool spared_ = false; ///< Others go before it a little, so that it has room for what it alone may run.
    bool visited_ = false; ///< This VM has no share of its connections; see ConnectionPlan.h.
    bool idleConnection_ = false;
    bool mayOpen_ = false; ///< A further connection fits into this VM's share.
};

/** What to do with a statement. */
struct Placement
{
    std::optional<MemberId> run_; ///< Use an idle connection to this member.
    std::optional<MemberId> open_; ///< Open a connection to this member; without run_, the statement waits for it.
};

/** Places a statement on one of \p options; all of them may run it. */
Placement placeStatement(absl::Span<const PlacementOption> options);

/** Connections to one member that this VM may have for a statement that has waited for \p waited: for the first moment no more than those that may rest. */
unsigned connectionsAllowed(const ConnectionPlan &plan, Duration waited);

} // namespace Figward
