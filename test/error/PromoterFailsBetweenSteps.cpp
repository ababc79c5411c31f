// The owner that replaces a failed primary fails between its steps. If it stops, it leaves a fenced majority without a primary, and the next owner must take
// over in a term of its own. If it is paused, it resumes after another owner has promoted a member, and its own promotion must have no effect.
#include "support/FailoverStory.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration second = std::chrono::seconds(1);

/** Injects \p fault at the first promotion that any proxy requests; with \p loseCall, the Promote call itself is lost. */
void onFirstPromotion(FailoverStory &story, bool loseCall, std::function<void(ProxyIndex)> fault)
{
    story.world_.hooks_.afterEvent_ =
        [&story, loseCall, fault = std::move(fault), faultInjected = false](ProxyIndex proxy, ProxyState &, Effects &effects) mutable {
            const auto promotes = [](const Effect &effect) {
                const auto *control = std::get_if<SendControl>(&effect);
                return control != nullptr && std::holds_alternative<Promote>(control->call_.body_);
            };
            if (faultInjected || std::ranges::none_of(effects, promotes)) {
                return;
            }
            faultInjected = true;
            if (loseCall) {
                std::erase_if(effects, promotes);
            }
            story.world_.schedule(story.world_.now(), [proxy, fault] { fault(proxy); });
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
    // It requests no promotion in its old term, and the other owner's promotion stays in effect.
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
        const auto call = state.outstandingControls_.find(answered->answer_.id_);
        if (call != state.outstandingControls_.end() && std::holds_alternative<Promote>(call->second.body_)) {
            answered->answer_ = {.id_ = answered->answer_.id_, .result_ = ControlResult::Failed};
            ++lost;
        }
    };
    story.losePrimary();
    EXPECT_LT(story.timeToWrite(0, 5 * second), 2 * second);
    EXPECT_EQ(lost, 1);
    EXPECT_EQ(story.promotions(), 1U);
}
