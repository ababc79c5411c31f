// A fence above the primary's term remains after its owner has failed, so that nothing can be acknowledged: on one member, or on all members with no primary
// left. After a short stall of writes, an owner must start a higher term.
#include "support/FailoverStory.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration second = std::chrono::seconds(1);
const Term leftoverTerm(1'000'999);

void fence(FailoverStory &story, Standin::MemberIndex member)
{
    story.world_.group(0).control(member, Standin::ReplyTag(0), {ControlId(0), Fence{leftoverTerm}}, story.world_.now());
    story.world_.group(0).takeReplies();
}

} // namespace

TEST(FenceLeftBehind, onOneReplica)
{
    FailoverStory story;
    const Standin::MemberIndex primary = story.world_.primaryOf(0);
    ASSERT_EQ(story.write(0, "put kept yes")->outcome_, Outcome::Done);
    fence(story, (primary + 1) % 3);
    story.world_.run(4 * second);
    EXPECT_EQ(story.promotions(), 1U);
    // The previous primary is healthy and has the longest log, so it continues in a new term.
    EXPECT_EQ(story.world_.primaryOf(0), primary);
    EXPECT_LT(story.timeToWrite(0, second), second);
    EXPECT_EQ(story.valuesOf("kept")[primary], "yes");
}

TEST(FenceLeftBehind, onAllMembers)
{
    FailoverStory story;
    for (Standin::MemberIndex member = 0; member < 3; ++member) {
        fence(story, member);
    }
    EXPECT_LT(story.timeToWrite(0, 5 * second), 3 * second);
    EXPECT_GT(story.view(0).term_, leftoverTerm);
}

TEST(FenceLeftBehind, onAGroupThatHasNoRecordYet)
{
    WorldConfig config;
    config.platform_.answerTime_ = std::chrono::milliseconds(50);
    World world(config);
    for (Standin::MemberIndex member = 0; member < 3; ++member) {
        world.group(0).control(member, Standin::ReplyTag(0), {ControlId(0), Fence{leftoverTerm}}, world.now());
    }
    world.group(0).takeReplies();
    world.run(5 * second);
    EXPECT_GT(world.group(0).status(world.primaryOf(0)).log_.term_, leftoverTerm);
}
