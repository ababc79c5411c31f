// A fence stands above the primary's term and its author is gone, so that nothing can be acknowledged: one member fenced by an owner that died, or all of
// them with no primary left. Callers see writes stall for a moment; then an owner with a higher term of its own sets the group going again.
#include "support/FailoverStory.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration second = std::chrono::seconds(1);
const Term left(1'000'999);

void fence(FailoverStory &story, Standin::MemberIndex member)
{
    story.world_.group(0).control(member, Standin::ReplyTag(0), {ControlId(0), Fence{left}}, story.world_.now());
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
    // The longest log is that of the old primary, which had no fault: it goes on in a new term.
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
    EXPECT_GT(story.view(0).term_, left);
}

TEST(FenceLeftBehind, onAGroupThatHasNoRecordYet)
{
    WorldConfig config;
    config.platform_.answerTime_ = std::chrono::milliseconds(50);
    World world(config);
    for (Standin::MemberIndex member = 0; member < 3; ++member) {
        world.group(0).control(member, Standin::ReplyTag(0), {ControlId(0), Fence{left}}, world.now());
    }
    world.group(0).takeReplies();
    world.run(5 * second);
    EXPECT_GT(world.group(0).status(world.primaryOf(0)).log_.term_, left);
}
