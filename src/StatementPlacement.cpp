#include "StatementPlacement.h"

#include <algorithm>

namespace Figward {

namespace {

/** A statement more at a member of the own zone weighs as much as the way to another zone: about 3 ms there and back of some 30 ms of work. */
constexpr double otherZone = 1.0;
/** Writes can go to the primary only, so reads leave it a little room. */
constexpr double primaryRoom = 0.5;
/** Where VMs visit, a read at the primary takes a connection there too: a replica of another zone goes first, also with a statement more of this VM. */
constexpr double visitedPrimaryRoom = 2.0;
/** Lagging members mostly refuse, which costs a round trip and a slot. */
constexpr double lagging = 10.0;
constexpr double leaving = 100.0;
constexpr double suspect = 1000.0;
/** A connection more is worth its 12 ms when the member has this many statements fewer than the one that is used now. */
constexpr double worthOpening = 2.0;

/** A statement that has waited for this long may open a connection above ordinary load: about one statement's work. */
constexpr std::chrono::milliseconds patience(30);

double roomOf(const PlacementOption &option)
{
    if (!option.spared_) {
        return 0;
    }
    return option.visited_ ? visitedPrimaryRoom : primaryRoom;
}

double cost(const PlacementOption &option)
{
    return static_cast<double>(option.busy_) + (option.sameZone_ ? 0.0 : otherZone) + roomOf(option) + (option.lagging_ ? lagging : 0.0)
           + (option.leaving_ ? leaving : 0.0) + (option.suspect_ ? suspect : 0.0);
}

} // namespace

Placement placeStatement(absl::Span<const PlacementOption> options)
{
    const PlacementOption *idle = nullptr;
    const PlacementOption *open = nullptr;
    for (const PlacementOption &option : options) {
        if (option.idleConnection_ && (idle == nullptr || cost(option) < cost(*idle))) {
            idle = &option;
        }
        if (!option.idleConnection_ && option.mayOpen_ && (open == nullptr || cost(option) < cost(*open))) {
            open = &option;
        }
    }
    Placement placement;
    if (idle != nullptr) {
        placement.run_ = idle->member_;
    }
    if (open != nullptr && (idle == nullptr || cost(*open) + worthOpening <= cost(*idle))) {
        placement.open_ = open->member_;
    }
    return placement;
}

unsigned connectionsAllowed(const ConnectionPlan &plan, Duration waited)
{
    const bool visits = plan.resting_ == 0;
    return visits || waited > patience ? plan.most_ : plan.resting_;
}

} // namespace Figward
