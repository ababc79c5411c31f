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

// The store is unavailable to all VMs for six seconds. Clients are not affected: the leader's claim outlasts the outage, and its heartbeats renew the VMs'
// authority.
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

// The store reports no changes to watches, and answers to repeated requests stay stale, while an operator changes the configuration. The change is active on
// every VM within three seconds nevertheless: one VM reads the latest configuration about every second, and the others learn its version from heartbeats.
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

// The store is unreachable for one VM only. A configuration change reaches that VM from the mirror of another, whose heartbeat states the newer version.
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

// Every answer of the store to a write is lost, although the write succeeds. The leader finds its own claim in the store and continues; no other VM leads.
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

// Another writer adds an entry to the member directory that cannot be parsed, and later a second one. Clients are not affected. Each entry is logged once,
// however often the directory is read, and again if the same entry is corrupted anew after a repair.
TEST(SessionStoreIsAway, anEntryThatCannotBeUnderstoodIsNamedOnce)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t client = world.open(0, "ledger");
    const Duration turns = std::chrono::seconds(30); // One VM at a time reads the directory for all; by then each has had its turn.
    world.garbleEntry("i-9", true);
    world.run(turns);
    const std::size_t vms = 4;
    EXPECT_THAT(world.logged(LogNumber::StoreObjectUnreadable), AllOf(SizeIs(vms), Each(HasSubstr("object=i-9"))));
    world.garbleEntry("i-8", true);
    world.run(turns);
    EXPECT_THAT(world.logged(LogNumber::StoreObjectUnreadable), SizeIs(2 * vms));
    world.garbleEntry("i-9", false);
    world.run(turns);
    world.garbleEntry("i-9", true);
    world.run(turns);
    EXPECT_THAT(world.logged(LogNumber::StoreObjectUnreadable), SizeIs(3 * vms));
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// The store is unreachable for the leader only, and then the primary crashes. The leader cannot record a replacement; it resigns by heartbeat as soon as it
// learns that other VMs receive answers, and another VM claims the group and replaces the primary. Guards against writes that stall until the claim expires 8 s
// later.
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

// The store is unavailable to all VMs. No leader resigns: no other VM could claim a group, and without a leader all authority would expire.
TEST(SessionStoreIsAway, leadersGoOnWhileItAnswersNobody)
{
    SessionWorld world;
    world.run(startTime);
    const unsigned first = *world.leader();
    world.storeDown(true);
    world.run(std::chrono::seconds(5));
    EXPECT_EQ(world.leader(), first);
}
