/** \file
 * Defines the choice of a member for a statement, from plain figures about each member.
 *
 * It answers the load pattern of many small reads over members of unequal distance and state: work goes where this VM has least outstanding, a member of
 * its own zone is preferred while it is not busier than the others, and members that lag, leave or fell silent come last.
 */
#pragma once

#include "Ids.h"

#include <absl/types/span.h>
#include <chrono>
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

/**
 * Connections that this VM may have to one member for a statement that has waited for \p waited, where \p share is its whole share.
 * Half of the share is for ordinary load. The rest opens for statements that wait: when many VMs lose power at once, members hold their dead connections
 * for seconds, and VMs that start again find room only if the ones before them had left some.
 */
unsigned connectionsAllowed(unsigned share, std::chrono::microseconds waited);

/** Connections of one VM to one member, of the \p limit that the member takes from all \p vms together; at least one. */
unsigned connectionShare(unsigned limit, unsigned vms);

} // namespace Figward
