// An availability zone is cut off from the other two for ten seconds; its owner suspects the primary and hears no second word.
// Its wait for one has ended, but no majority answers, so no attempt can begin. A timer that is armed again for the end of that wait, now in
// the past, fires at once and for ever: the process burns a core and answers nothing. World ends such a run with an exception.
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
