// The first owner is so slow that the second one also starts a failover, and both fence the group at terms of their own. Callers must see one primary: the
// higher fence wins, the other owner is refused and abandons its attempt, and no acknowledged write is lost.
#include "support/FailoverStory.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration second = std::chrono::seconds(1);

} // namespace

TEST(TwoOwnersPromoteAtOnce, oneWinsAndTheOtherGivesUp)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FailoverStory story({.seed_ = seed});
        ASSERT_EQ(story.write(0, "put kept yes")->outcome_, Outcome::Done);
        std::set<ProxyIndex> promoters;
        story.world_.hooks_.afterEvent_ = [&](ProxyIndex proxy, ProxyState &state, Effects &) {
            const GroupOwner *owner = findOwner(state, World::groupId(0));
            if (owner == nullptr) {
                return;
            }
            // Removes the delay by rank, so that all owners that suspect the primary act at once.
            state.owners_.at(World::groupId(0)).failover_.suspicion_.startAt_ = owner->failover_.suspicion_.since_;
            if (owner->failover_.attempt_) {
                promoters.insert(proxy);
            }
        };
        story.losePrimary();
        ASSERT_TRUE(story.timeToWrite(0, 6 * second).has_value()) << "seed " << seed;
        story.world_.run(3 * second);
        EXPECT_EQ(story.valuesOf("kept")[story.world_.primaryOf(0)], "yes") << "seed " << seed;
        for (ProxyIndex proxy = 0; proxy < 3; ++proxy) {
            EXPECT_EQ(story.view(proxy).term_, story.view(0).term_) << "seed " << seed;
            EXPECT_EQ(story.view(proxy).primary_, story.view(0).primary_) << "seed " << seed;
        }
    }
}

TEST(TwoOwnersPromoteAtOnce, theLowerFenceIsRefusedAndAbandoned)
{
    FailoverStory story;
    const ProxyIndex first = story.ownerOfRank(0);
    std::vector<LogNumber> logged;
    bool raced = false;
    story.world_.hooks_.afterEvent_ = [&](ProxyIndex proxy, ProxyState &state, Effects &effects) {
        for (const Effect &effect : effects) {
            const auto *log = std::get_if<WriteLog>(&effect);
            if (log == nullptr || proxy != first) {
                continue;
            }
            logged.push_back(log->number_);
            if (log->number_ == LogNumber::FailoverStarted && !raced) {
                // A fence of another owner at a higher term reaches the members first, and that owner never promotes a member.
                raced = true;
                const Term higher(state.owners_.at(World::groupId(0)).failover_.attempt_->term_.value() + 1);
                for (Standin::MemberIndex member = 0; member < 3; ++member) {
                    story.world_.group(0).control(member, Standin::ReplyTag(0), {ControlId(0), Fence{higher}}, story.world_.now());
                }
                story.world_.group(0).takeReplies();
            }
        }
    };
    story.losePrimary();
    EXPECT_LT(story.timeToWrite(0, 6 * second), 3 * second);
    EXPECT_THAT(logged, testing::Contains(LogNumber::FailoverAbandoned));
}
