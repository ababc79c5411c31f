#include "StatementPlacement.h"

#include <algorithm>

namespace Figward {

namespace {

/** Cost of a member in another zone, in statements. The round trip to another zone takes about 3 ms, a statement about 30 ms of work. */
constexpr double otherZoneCost = 1.0;
/** Cost of a read at the primary, which leaves capacity for the writes that only the primary can run. */
constexpr double primaryCost = 0.5;
/**
 * The same if connections are temporary, where a read at the primary also takes up one of its connections. A replica in another zone is preferred even if it
 * runs one statement more of this VM.
 */
constexpr double temporaryPrimaryCost = 2.0;
/** Cost of a lagging member: it will usually refuse the read, which wastes a round trip and one of its slots. */
constexpr double laggingCost = 10.0;
constexpr double leavingCost = 100.0;
constexpr double ejectedCost = 500.0;
constexpr double unavailableCost = 1000.0;
/** Opening a connection takes 12 ms; it pays off at a member whose cost is lower by at least this many statements than that of the best idle connection. */
constexpr double openingCost = 2.0;

/** Time after which a waiting statement may use connections beyond those that may stay open while idle: about the work of one statement. */
constexpr std::chrono::milliseconds reserveDelay(30);

double primaryCostOf(const PlacementCandidate &candidate)
{
    if (!candidate.deprioritised_) {
        return 0;
    }
    return candidate.temporaryConnections_ ? temporaryPrimaryCost : primaryCost;
}

double cost(const PlacementCandidate &candidate)
{
    return static_cast<double>(candidate.activeStatements_) + (candidate.sameZone_ ? 0.0 : otherZoneCost) + primaryCostOf(candidate)
           + (candidate.lagging_ ? laggingCost : 0.0) + (candidate.leaving_ ? leavingCost : 0.0) + (candidate.ejected_ ? ejectedCost : 0.0)
           + (candidate.unavailable_ ? unavailableCost : 0.0);
}

} // namespace

Placement placeStatement(absl::Span<const PlacementCandidate> candidates)
{
    const PlacementCandidate *idle = nullptr;
    const PlacementCandidate *open = nullptr;
    for (const PlacementCandidate &candidate : candidates) {
        if (candidate.idleConnection_ && (idle == nullptr || cost(candidate) < cost(*idle))) {
            idle = &candidate;
        }
        if (!candidate.idleConnection_ && candidate.mayOpen_ && (open == nullptr || cost(candidate) < cost(*open))) {
            open = &candidate;
        }
    }
    Placement placement;
    if (idle != nullptr) {
        placement.run_ = idle->member_;
    }
    if (open != nullptr && (idle == nullptr || cost(*open) + openingCost <= cost(*idle))) {
        placement.open_ = open->member_;
    }
    return placement;
}

unsigned connectionsAllowed(const ConnectionPlan &plan, Duration waited)
{
    const bool isTemporary = plan.maxIdle_ == 0;
    return isTemporary || waited > reserveDelay ? plan.maxOpen_ : plan.maxIdle_;
}

} // namespace Figward
