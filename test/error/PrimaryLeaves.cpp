// The configuration marks the primary's upstream as leaving. After a short stall, a replica with the primary's whole log must be promoted, every acknowledged
// write must be present, and writes must continue at the new primary within a second or two.
#include "support/FailoverStory.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration second = std::chrono::seconds(1);

void markLeaving(FailoverStory &story, Standin::MemberIndex member)
{
    Configuration next = story.world_.configuration();
    next.version_ = ConfigVersion(next.version_.value() + 1);
    next.groups_.at(World::groupId(0)).members_.at(member).leaving_ = true;
    story.world_.applyConfiguration(next);
}

} // namespace

TEST(PrimaryLeaves, aReplicaTakesOverAndNothingIsLost)
{
    FailoverStory story;
    const Standin::MemberIndex leaving = story.world_.primaryOf(0);
    for (int entry = 0; entry < 10; ++entry) {
        ASSERT_EQ(story.write(0, "append log x")->outcome_, Outcome::Done);
    }
    markLeaving(story, leaving);
    EXPECT_LT(story.timeToWrite(0, 5 * second), second);
    EXPECT_NE(story.world_.primaryOf(0), leaving);
    EXPECT_EQ(story.promotions(), 1U);
    EXPECT_EQ(story.valuesOf("log")[story.world_.primaryOf(0)], std::string(10, 'x'));
}
