#include "support/SessionWorld.h"

#include <gmock/gmock.h>

#include <algorithm>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);
constexpr unsigned vms = 4;
constexpr unsigned former = 0; ///< The primary that is cut off and replaced.
constexpr unsigned successor = 1;
constexpr unsigned silentReplica = 2; ///< A replica that receives nothing; it lacks commits of all terms.

/** A group whose primary has commits that no other member has received, and is cut off and replaced. */
class ReplacedPrimary
{
public:
    ReplacedPrimary()
        : client_(prepare())
    {
    }

    /** Writes \p count records, each of which must be acknowledged. */
    void write(unsigned count)
    {
        for (unsigned record = 0; record < count; ++record) {
            ASSERT_EQ(world_.ask(client_, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
        }
    }

    /** Cuts all VMs off from the primary, and lets another member take over and take writes. */
    void replace()
    {
        cutFormer(true);
        const Time start = world_.now();
        while (world_.promotions() == 0 && world_.now() - start < std::chrono::seconds(4)) {
            world_.run(std::chrono::milliseconds(10));
        }
        world_.run(std::chrono::milliseconds(100));
        ASSERT_EQ(world_.group().leader().id_, SessionWorld::memberId(successor));
        write(5);
    }

    void replaceAndCrash()
    {
        replace();
        world_.crashMember(successor);
    }

    void cutFormer(bool cut)
    {
        for (unsigned vm = 0; vm < vms; ++vm) {
            world_.cutVmFromMember(vm, former, cut);
        }
    }

    Standin::LineMember &member(unsigned number)
    {
        return world_.group().member(SessionWorld::memberId(number));
    }

    /** Whether the log of the current primary has a commit that was given up when the successor took over. */
    bool hasGivenUpCommit()
    {
        const std::vector<Standin::LineCommit> &log = world_.group().leader().log_;
        return std::ranges::any_of(log, [&](const Standin::LineCommit &commit) { return commit.point_ == givenUp_; });
    }

    SessionWorld world_;

private:
    std::size_t prepare()
    {
        world_.run(startTime);
        client_ = world_.open(0, "ledger");
        write(10);
        world_.run(std::chrono::milliseconds(100));
        member(silentReplica).receivesNothing_ = true;
        write(10);
        world_.run(std::chrono::milliseconds(100));
        member(successor).receivesNothing_ = true;
        write(5);
        givenUp_ = Standin::endOf(member(former));
        return client_;
    }

    std::size_t client_ = 0;
    LogPoint givenUp_;
};

} // namespace

// Guards against the promotion of a replaced primary with its old log: commits that were given up return after reads without them.
TEST(SessionFormerPrimaryReturns, andIsNotPromotedWithItsOldLog)
{
    ReplacedPrimary story;
    story.replaceAndCrash();
    story.cutFormer(false);
    story.world_.run(std::chrono::seconds(4));
    EXPECT_EQ(story.world_.group().leader().id_, SessionWorld::memberId(silentReplica));
    EXPECT_FALSE(story.hasGivenUpCommit());
    story.write(1);
    story.world_.checkLogs();
    EXPECT_THAT(story.world_.violations(), IsEmpty());
}

// Guards against the same by a leader that took over before the term of the successor was stored.
TEST(SessionFormerPrimaryReturns, andIsNotPromotedByTheNextLeader)
{
    ReplacedPrimary story;
    const unsigned leader = *story.world_.leader();
    story.world_.setBeforeEvent([&](ProxyState &state, EventBody & /*event*/, Time) {
        const std::optional<LeaderState> &leads = state.sessions_->groups_.begin()->second.leader_;
        if (leads && leads->step_ == ReplacementStep::Promoting) {
            story.world_.cutVmFromStore(leader, true);
        }
    });
    story.replaceAndCrash();
    story.world_.killVm(leader);
    story.cutFormer(false);
    story.world_.run(std::chrono::seconds(20));
    EXPECT_EQ(story.world_.promotions(), 1U);
    story.world_.restartMember(successor);
    story.world_.run(std::chrono::seconds(2));
    EXPECT_EQ(story.world_.group().leader().id_, SessionWorld::memberId(successor));
    EXPECT_FALSE(story.hasGivenUpCommit());
    story.world_.checkLogs();
    EXPECT_THAT(story.world_.violations(), IsEmpty());
}

// Guards against a group without a primary for ever: the members that hold the later term are lost for good.
TEST(SessionFormerPrimaryReturns, andIsPromotedOnceNoOtherMemberHasReturnedForLong)
{
    ReplacedPrimary story;
    story.replaceAndCrash();
    story.world_.crashMember(silentReplica);
    story.cutFormer(false);
    story.world_.run(std::chrono::seconds(25));
    EXPECT_EQ(story.world_.promotions(), 1U);
    story.world_.run(std::chrono::seconds(10));
    EXPECT_EQ(story.world_.promotions(), 2U);
    EXPECT_EQ(story.world_.group().leader().id_, SessionWorld::memberId(former));
}

// Guards against needless waiting: the successor returns with its log, and all that it acknowledged is kept.
TEST(SessionFormerPrimaryReturns, andTheSuccessorThatReturnsFirstIsUsedAgain)
{
    ReplacedPrimary story;
    story.replaceAndCrash();
    story.world_.crashMember(silentReplica);
    story.cutFormer(false);
    story.world_.run(std::chrono::seconds(3));
    story.world_.restartMember(successor);
    story.world_.run(std::chrono::seconds(1));
    EXPECT_EQ(story.world_.group().leader().id_, SessionWorld::memberId(successor));
    story.write(1);
    story.world_.checkLogs();
    EXPECT_THAT(story.world_.violations(), IsEmpty());
}

// Guards against an outage: a leaving primary must not be replaced while the former one is the only other member.
TEST(SessionFormerPrimaryReturns, andDoesNotSucceedALeavingPrimary)
{
    ReplacedPrimary story;
    story.replace();
    story.world_.crashMember(silentReplica);
    story.cutFormer(false);
    story.world_.memberLeaves(successor);
    for (int round = 0; round < 50; ++round) {
        story.write(1);
        story.world_.run(std::chrono::milliseconds(40));
    }
    story.world_.run(std::chrono::seconds(6));
    EXPECT_EQ(story.world_.promotions(), 1U);
    EXPECT_EQ(story.world_.group().leader().id_, SessionWorld::memberId(successor));
    story.world_.checkLogs();
    EXPECT_THAT(story.world_.violations(), IsEmpty());
}
