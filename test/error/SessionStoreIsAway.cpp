#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);

ConfigVersion versionAt(SessionWorld &world, unsigned vm)
{
    return world.vm(vm).sessions_->configuration_->version_;
}

} // namespace

// The store answers nobody for six seconds. Callers notice nothing: the leader's claim outlasts the outage, and its heartbeats renew the VMs' authority.
TEST(SessionStoreIsAway, forSixSecondsNothingStops)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger");
    world.storeDown(true);
    for (int round = 0; round < 60; ++round) {
        EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None) << round;
        world.run(std::chrono::milliseconds(80));
    }
    world.storeDown(false);
    world.run(std::chrono::seconds(3));
    EXPECT_EQ(world.promotions(), 0U);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// The store drops its history: watches hear nothing, and stale answers stay as they were. An operator applies a change meanwhile.
// It is in force on every VM within three seconds all the same: some VM reads the latest configuration every second or so, the others hear its number.
TEST(SessionStoreIsAway, aChangeIsInForceInTimeWhileWatchesAreSilent)
{
    SessionWorld world;
    world.run(startTime);
    world.watchesAreSilent(true);
    for (int round = 0; round < 5; ++round) {
        world.run(std::chrono::milliseconds(700));
        world.newConfiguration([](SessionConfiguration &) {});
        const ConfigVersion expected(5 + 2 * static_cast<std::uint64_t>(round));
        world.run(std::chrono::milliseconds(2500));
        for (unsigned vm = 0; vm < 4; ++vm) {
            EXPECT_EQ(versionAt(world, vm), expected) << vm;
        }
    }
}

// The store turns one VM away and serves the others. The change reaches that VM from the mirror of another, whose heartbeat names the newer number.
TEST(SessionStoreIsAway, aVmThatIsTurnedAwayLearnsAChangeFromTheOthers)
{
    SessionWorld world;
    world.run(startTime);
    world.cutVmFromStore(2, true);
    world.run(std::chrono::seconds(1));
    world.newConfiguration([](SessionConfiguration &configuration) { configuration.databases_.erase("history"); });
    world.run(std::chrono::milliseconds(2500));
    EXPECT_EQ(versionAt(world, 2), ConfigVersion(5));
    EXPECT_TRUE(world.client(world.open(2, "history")).refused_);
}

// Every answer of the store to a write is lost, though the write is done. The leader finds its own claim standing there and goes on; nobody else leads.
TEST(SessionStoreIsAway, lostAnswersToRenewalsCostNoLeadership)
{
    SessionWorld world;
    world.run(startTime);
    const std::optional<unsigned> leader = world.leader();
    ASSERT_TRUE(leader.has_value());
    world.storeLosesAnswers(true);
    world.run(std::chrono::seconds(5));
    world.storeLosesAnswers(false);
    world.run(std::chrono::seconds(4));
    EXPECT_EQ(world.leader(), leader);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Another writer leaves an entry among the members that cannot be understood, and later a second one. Callers notice nothing.
// The on-call engineer finds one line for each entry, however often the list is read, and another one when the same entry is damaged again.
TEST(SessionStoreIsAway, anEntryThatCannotBeUnderstoodIsNamedOnce)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger");
    world.garbleEntry("i-9", true);
    world.run(std::chrono::seconds(10));
    const std::size_t vms = 4;
    EXPECT_THAT(world.logged(LogNumber::StoreObjectUnreadable), AllOf(SizeIs(vms), Each(HasSubstr("object=i-9"))));
    world.garbleEntry("i-8", true);
    world.run(std::chrono::seconds(4));
    EXPECT_THAT(world.logged(LogNumber::StoreObjectUnreadable), SizeIs(2 * vms));
    world.garbleEntry("i-9", false);
    world.run(std::chrono::seconds(4));
    world.garbleEntry("i-9", true);
    world.run(std::chrono::seconds(4));
    EXPECT_THAT(world.logged(LogNumber::StoreObjectUnreadable), SizeIs(3 * vms));
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// The store turns the leader away and serves the others, and then the primary's process dies. The leader cannot record a replacement; it resigns by heartbeat
// as soon as it sees that others have answers, another VM claims the group and replaces the primary. Writes were once stalled until the claim ended, 8 s later.
TEST(SessionStoreIsAway, aLeaderThatIsTurnedAwayResignsAndThePrimaryIsReplaced)
{
    SessionWorld world;
    world.run(startTime);
    const unsigned first = *world.leader();
    world.cutVmFromStore(first, true);
    world.run(std::chrono::milliseconds(500));
    world.crashMember(0);
    const Time lost = world.now();
    const std::size_t client = world.open((first + 1) % 4, "ledger");
    while (world.now() - lost < std::chrono::seconds(12) && world.ask(client, StatementKind::Write, "WRITE a 1").code_ != ReplyCode::None) {
        world.run(std::chrono::milliseconds(50));
    }
    EXPECT_LT(toMillis(world.now() - lost), 6000);
    EXPECT_NE(world.leader(), first);
    EXPECT_EQ(world.promotions(), 1U);
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// The store answers nobody. No leader resigns: nobody could claim a group, and without a leader authority ends everywhere.
TEST(SessionStoreIsAway, leadersGoOnWhileItAnswersNobody)
{
    SessionWorld world;
    world.run(startTime);
    const unsigned first = *world.leader();
    world.storeDown(true);
    world.run(std::chrono::seconds(5));
    EXPECT_EQ(world.leader(), first);
}
