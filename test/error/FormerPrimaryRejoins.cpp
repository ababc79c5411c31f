// A primary is cut off with writes that no replica has, and is replaced. When it returns, it still considers itself primary. Those writes must not have been
// acknowledged, its tail must be truncated before it counts towards a majority, and every acknowledged value must be present.
#include "support/FailoverStory.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration second = std::chrono::seconds(1);

/** Returns a proxy in another zone than \p zone. */
ProxyIndex outside(const FailoverStory &story, std::size_t zone)
{
    return story.world_.zoneOfProxy(0) == zone ? 1 : 0;
}

} // namespace

TEST(FormerPrimaryRejoins, itsTailIsCutAndItFollows)
{
    FailoverStory story;
    const Standin::MemberIndex former = story.world_.primaryOf(0);
    const std::size_t zone = story.world_.zoneOfMember(0, former);
    ASSERT_EQ(story.write(0, "append log a")->outcome_, Outcome::Done);
    story.isolate(zone, true);
    std::optional<Answer> tail;
    Request request{.kind_ = RequestKind::Write, .service_ = ServiceId("ledger"), .group_ = World::groupId(0), .body_ = "append log x", .timeout_ = second};
    request.key_ = {{200, 2}, Sequence(1)};
    story.world_.ask(zone, request, [&](const std::optional<Answer> &answer) { tail = answer; });
    ASSERT_LT(story.timeToWrite(outside(story, zone), 5 * second), 2 * second);
    ASSERT_EQ(story.write(outside(story, zone), "append log b")->outcome_, Outcome::Done);
    story.world_.run(second); // The caller at the isolated proxy waits until its request times out.
    ASSERT_TRUE(tail.has_value());
    EXPECT_NE(tail->outcome_, Outcome::Done);
    EXPECT_EQ(story.valuesOf("log")[former], "ax");
    story.isolate(zone, false);
    story.world_.run(3 * second);
    // The caller received Unknown, so a copy of its request in flight may still run once, after the acknowledged write but not before it.
    EXPECT_EQ(tail->outcome_, Outcome::Unknown);
    const std::vector<std::string> values = story.valuesOf("log");
    EXPECT_TRUE(values[former] == "ab" || values[former] == "abx") << values[former];
    EXPECT_THAT(values, testing::Each(values[former]));
    EXPECT_FALSE(story.world_.group(0).status(former).primary_);
    EXPECT_EQ(story.promotions(), 1U);
}

TEST(FormerPrimaryRejoins, aMemberThatMissedItsOrderToFollowIsToldAgain)
{
    FailoverStory story;
    const Standin::MemberIndex former = story.world_.primaryOf(0);
    story.world_.hooks_.afterEvent_ = [&, lost = 0](ProxyIndex, ProxyState &, Effects &effects) mutable {
        const auto follows = [&](const Effect &effect) {
            const auto *control = std::get_if<SendControl>(&effect);
            return control != nullptr && std::holds_alternative<Follow>(control->call_.body_) && lost++ < 2;
        };
        std::erase_if(effects, follows);
    };
    story.losePrimary();
    ASSERT_LT(story.timeToWrite(0, 8 * second), 4 * second);
    story.world_.group(0).restart(former, story.world_.now());
    ASSERT_EQ(story.write(0, "put seen yes")->outcome_, Outcome::Done);
    story.world_.run(3 * second);
    EXPECT_EQ(story.valuesOf("seen"), (std::vector<std::string>{"yes", "yes", "yes"}));
}

TEST(FormerPrimaryRejoins, aQuickRestartOfThePrimaryIsNoFailover)
{
    FailoverStory story;
    story.world_.group(0).restart(story.world_.primaryOf(0), story.world_.now());
    story.world_.run(2 * second);
    EXPECT_EQ(story.promotions(), 0U);
    EXPECT_LT(story.timeToWrite(0, second), second);
}
