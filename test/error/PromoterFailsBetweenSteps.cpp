// The owner that replaces a lost primary fails between its steps. A dead one leaves a fenced majority without a primary: writes stall until the next owner
// takes over at a term of its own. A paused one comes back when another owner has promoted, and its promotion must not count for anything.
#include "support/FailoverStory.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration second = std::chrono::seconds(1);

/** Has \p strike happen at the first promotion that any proxy asks for; the call itself is lost when \p loseCall. */
void onFirstPromotion(FailoverStory &story, bool loseCall, std::function<void(ProxyIndex)> strike)
{
    story.world_.hooks_.afterEvent_ = [&story, loseCall, strike = std::move(strike), struck = false](ProxyIndex proxy, ProxyState &, Effects &effects) mutable {
        const auto promotes = [](const Effect &effect) {
            const auto *control = std::get_if<SendControl>(&effect);
            return control != nullptr && std::holds_alternative<Promote>(control->call_.body_);
        };
        if (struck || std::ranges::none_of(effects, promotes)) {
            return;
        }
        struck = true;
        if (loseCall) {
            std::erase_if(effects, promotes);
        }
        story.world_.schedule(story.world_.now(), [proxy, strike] { strike(proxy); });
    };
}

} // namespace

TEST(PromoterFailsBetweenSteps, theNextOwnerTakesOverFromADeadOne)
{
    FailoverStory story;
    const ProxyIndex first = story.ownerOfRank(0);
    ASSERT_EQ(story.write(0, "put kept yes")->outcome_, Outcome::Done);
    onFirstPromotion(story, true, [&](ProxyIndex proxy) { story.world_.killProxy(proxy); });
    story.losePrimary();
    const ProxyIndex other = (first + 1) % 3;
    EXPECT_LT(story.timeToWrite(other, 6 * second), 3 * second);
    EXPECT_FALSE(story.world_.isAlive(first));
    EXPECT_EQ(story.promotions(), 1U);
    EXPECT_EQ(story.valuesOf("kept")[story.world_.primaryOf(0)], "yes");
}

TEST(PromoterFailsBetweenSteps, aPausedOneComesBackToAnotherPrimary)
{
    FailoverStory story;
    const ProxyIndex first = story.ownerOfRank(0);
    onFirstPromotion(story, true, [&](ProxyIndex proxy) { story.world_.pauseProxy(proxy); });
    story.losePrimary();
    const ProxyIndex other = (first + 1) % 3;
    ASSERT_LT(story.timeToWrite(other, 6 * second), 3 * second);
    const Term term = story.view(other).term_;
    story.world_.resumeProxy(first);
    story.world_.run(3 * second);
    // It asks for no promotion at its old term, and what the others promoted stands.
    EXPECT_EQ(story.view(first).term_, term);
    EXPECT_EQ(story.view(other).term_, term);
    EXPECT_EQ(story.promotions(), 1U);
    EXPECT_LT(story.timeToWrite(first, second), second);
}

TEST(PromoterFailsBetweenSteps, aPromotionWhoseAnswerIsLostCounts)
{
    FailoverStory story;
    const ProxyIndex first = story.ownerOfRank(0);
    int lost = 0;
    story.world_.hooks_.beforeEvent_ = [&](ProxyIndex proxy, ProxyState &state, EventBody &body) {
        auto *answered = std::get_if<ControlAnswered>(&body);
        if (answered == nullptr || proxy != first || lost > 0) {
            return;
        }
        const auto call = state.controls_.find(answered->answer_.id_);
        if (call != state.controls_.end() && std::holds_alternative<Promote>(call->second.body_)) {
            answered->answer_ = {.id_ = answered->answer_.id_, .result_ = ControlResult::Failed};
            ++lost;
        }
    };
    story.losePrimary();
    EXPECT_LT(story.timeToWrite(0, 5 * second), 2 * second);
    EXPECT_EQ(lost, 1);
    EXPECT_EQ(story.promotions(), 1U);
}
