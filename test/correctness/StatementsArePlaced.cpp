#include "StatementPlacement.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace testing;

namespace {

PlacementCandidate option(const char *member, unsigned busy, bool sameZone)
{
    PlacementCandidate option{.member_ = MemberId(member)};
    option.activeStatements_ = busy;
    option.sameZone_ = sameZone;
    option.idleConnection_ = true;
    return option;
}

} // namespace

TEST(StatementsArePlaced, inTheOwnZoneUntilThatIsTheBusier)
{
    EXPECT_EQ(placeStatement(std::vector{option("near", 0, true), option("far", 0, false)}).run_, MemberId("near"));
    EXPECT_EQ(placeStatement(std::vector{option("near", 2, true), option("far", 0, false)}).run_, MemberId("far"));
}

TEST(StatementsArePlaced, atAMemberThatLagsOnlyWhenTheOthersAreFarBusier)
{
    PlacementCandidate lagging = option("near", 0, true);
    lagging.lagging_ = true;
    EXPECT_EQ(placeStatement(std::vector{lagging, option("far", 4, false)}).run_, MemberId("far"));
    EXPECT_EQ(placeStatement(std::vector{lagging, option("far", 14, false)}).run_, MemberId("near"));
}

TEST(StatementsArePlaced, byOpeningAConnectionWhereNoneIsIdle)
{
    PlacementCandidate busy = option("near", 3, true);
    busy.idleConnection_ = false;
    busy.mayOpen_ = true;
    EXPECT_EQ(placeStatement(std::vector{busy}).open_, MemberId("near"));
    EXPECT_EQ(placeStatement(std::vector{busy}).run_, std::nullopt);
    busy.mayOpen_ = false;
    EXPECT_EQ(placeStatement(std::vector{busy}).open_, std::nullopt);
}

// Eight VMs lose power together, and each member holds their dead connections for three more seconds. If the VMs had used their whole share before, the
// restarted VMs would be refused until then; if they had used half of it, as many new connections fit.
TEST(StatementsArePlaced, soThatVmsThatStartAgainFindRoom)
{
    constexpr unsigned limit = 34;
    constexpr unsigned vms = 8;
    const ConnectionPlan plan = planConnections({.limit_ = limit, .vms_ = vms});
    EXPECT_EQ(plan.maxOpen_, 4U);
    const unsigned ordinary = connectionsAllowed(plan, std::chrono::milliseconds(0));
    EXPECT_LE(2 * ordinary * vms, limit);
    EXPECT_EQ(connectionsAllowed(plan, std::chrono::milliseconds(40)), plan.maxOpen_) << "a burst may use the whole share";
    EXPECT_EQ(connectionsAllowed(planConnections({.limit_ = 3, .vms_ = vms}), std::chrono::milliseconds(0)), 3U)
        << "a temporary connection is opened without delay";
}
