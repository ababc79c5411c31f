// Owners reach different members of the group. An owner that cannot reach the primary must ask another owner before it acts, and must not replace a primary
// that is reachable elsewhere. An owner that reaches only a minority must never fence, so that it does not disturb the others' primary when it reconnects.
#include "support/FailoverStory.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration second = std::chrono::seconds(1);

std::size_t fencesSent(const Effects &effects)
{
    const auto fences = [](const Effect &effect) {
        const auto *control = std::get_if<SendControl>(&effect);
        return control != nullptr && std::holds_alternative<Fence>(control->call_.body_);
    };
    return static_cast<std::size_t>(std::ranges::count_if(effects, fences));
}

} // namespace

TEST(OwnersDisagreeAboutThePrimary, aPrimarySeenElsewhereStays)
{
    FailoverStory story;
    const std::size_t primaryZone = story.world_.zoneOfMember(0, story.world_.primaryOf(0));
    const ProxyIndex first = story.ownerOfRank(0);
    ASSERT_NE(story.world_.zoneOfProxy(first), primaryZone);
    story.world_.setZonesCut(story.world_.zoneOfProxy(first), primaryZone, true);
    story.world_.run(30 * second);
    EXPECT_EQ(story.promotions(), 0U);
    const ProxyIndex third = 3 - first - static_cast<ProxyIndex>(primaryZone);
    EXPECT_LT(story.timeToWrite(third, 3 * second), 3 * second);
}

TEST(OwnersDisagreeAboutThePrimary, anOwnerThatSeesAMinorityNeverFences)
{
    FailoverStory story;
    const ProxyIndex first = story.ownerOfRank(0);
    std::size_t fences = 0;
    story.world_.hooks_.afterEvent_ = [&](ProxyIndex, ProxyState &, Effects &effects) { fences += fencesSent(effects); };
    story.isolate(story.world_.zoneOfProxy(first), true);
    story.world_.run(60 * second);
    story.isolate(story.world_.zoneOfProxy(first), false);
    story.world_.run(5 * second);
    EXPECT_EQ(fences, 0U);
    EXPECT_EQ(story.promotions(), 0U);
}

TEST(OwnersDisagreeAboutThePrimary, aMajorityWithoutASecondOwnerGoesOnAfterALongerWait)
{
    FailoverStory story;
    const ProxyIndex first = story.ownerOfRank(0);
    for (ProxyIndex proxy = 0; proxy < 3; ++proxy) {
        if (proxy != first) {
            story.world_.killProxy(proxy);
        }
    }
    story.losePrimary();
    const std::optional<Duration> gap = story.timeToWrite(first, 6 * second);
    EXPECT_LT(gap, 3 * second);
    EXPECT_GT(gap, second);
}

TEST(OwnersDisagreeAboutThePrimary, aZoneLostAsAWholeTakesNeitherTheGroupNorItsFirstOwner)
{
    FailoverStory story;
    const Standin::MemberIndex primary = story.world_.primaryOf(0);
    const std::size_t zone = story.world_.zoneOfMember(0, primary);
    story.losePrimary();
    story.world_.killProxy(zone);
    EXPECT_LT(story.timeToWrite((zone + 1) % 3, 5 * second), 2 * second);
}
