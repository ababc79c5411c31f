// Two primaries fail one after the other while the platform is down. Writes must continue after about half a second each time: the owners have been granted
// terms in advance and need no call to the platform. Once the platform answers again, its record must catch up with the group.
#include "support/FailoverStory.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration second = std::chrono::seconds(1);

GroupRecord recordOf(FailoverStory &story)
{
    return decodeGroupRecord(story.world_.platform().objects().at(groupRecordPath(World::groupId(0))).value_).value();
}

} // namespace

TEST(PrimariesLostWhilePlatformIsDown, writesGoOnEachTime)
{
    FailoverStory story;
    story.world_.platform().setFaults({.down_ = true});
    for (std::size_t failover = 1; failover <= 2; ++failover) {
        const Standin::MemberIndex lost = story.world_.primaryOf(0);
        const std::optional<Answer> before = story.write(0, "append kept " + std::to_string(failover));
        ASSERT_EQ(before->outcome_, Outcome::Done);
        story.losePrimary();
        EXPECT_LT(story.timeToWrite(0, 5 * second), 2 * second);
        EXPECT_EQ(story.promotions(), failover);
        story.world_.group(0).restart(lost, story.world_.now());
        story.world_.run(2 * second); // Lets the member rejoin, so that the next failure leaves a majority.
    }
    EXPECT_EQ(story.valuesOf("kept"), (std::vector<std::string>{"12", "12", "12"}));
    EXPECT_EQ(recordOf(story).term_, Term(1));
    story.world_.platform().setFaults({});
    story.world_.run(20 * second);
    EXPECT_EQ(recordOf(story).term_, story.view(0).term_);
    EXPECT_EQ(recordOf(story).primary_, story.view(0).primary_);
}

TEST(PrimariesLostWhilePlatformIsDown, anOwnerThatStartedMeanwhileLeavesItToTheOthers)
{
    FailoverStory story;
    story.world_.platform().setFaults({.down_ = true});
    const ProxyIndex first = story.ownerOfRank(0);
    story.world_.killProxy(first);
    story.world_.startProxy(first);
    story.world_.run(second);
    story.losePrimary();
    const ProxyIndex other = (first + 1) % 3;
    EXPECT_LT(story.timeToWrite(other, 6 * second), 6 * second);
    EXPECT_EQ(story.promotions(), 1U);
}

TEST(PrimariesLostWhilePlatformIsDown, lostAnswersOfThePlatformGrantNoBlockTwice)
{
    FailoverStory story({.seed_ = 5, .proxies_ = 8, .groups_ = 3});
    for (int restart = 0; restart < 12; ++restart) {
        story.world_.platform().setFaults({.lossPercent_ = 50});
        story.world_.killProxy(static_cast<ProxyIndex>(restart % 8));
        story.world_.startProxy(static_cast<ProxyIndex>(restart % 8));
        story.world_.run(4 * second);
    }
    story.world_.platform().setFaults({});
    story.world_.run(20 * second);
    for (std::size_t group = 0; group < story.world_.groups(); ++group) {
        std::set<Term> lastTerms;
        for (ProxyIndex proxy = 0; proxy < story.world_.proxies(); ++proxy) {
            const GroupOwner *owner = findOwner(story.world_.state(proxy), World::groupId(group));
            if (owner == nullptr || owner->leaving_) {
                continue;
            }
            ASSERT_FALSE(owner->failover_.blocks_.empty());
            for (const TermBlock &block : owner->failover_.blocks_) {
                EXPECT_TRUE(lastTerms.insert(block.last_).second) << "a block of terms was granted twice";
            }
        }
    }
}
