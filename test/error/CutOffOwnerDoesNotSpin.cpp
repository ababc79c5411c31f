// An owner is cut off from the other two zones for ten seconds. It suspects the primary and receives no report from another owner. When its wait for a report
// has ended, it still cannot start an attempt, as no majority answers. A timer armed for the end of that wait, now in the past, would fire immediately and
// without end, and the process would use a whole core without answering anything. World ends such a run with an exception.
#include "support/World.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

TEST(CutOffOwner, doesNotSpin)
{
    World world({.seed_ = 1});
    world.run(std::chrono::seconds(2));
    world.setZonesCut(2, 0, true);
    world.setZonesCut(2, 1, true);
    world.run(std::chrono::seconds(10));
    EXPECT_TRUE(world.isUp(2));
}
