#include "GroupInterest.h"
#include "support/SessionWorld.h"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(8);
constexpr unsigned vms = 24;
constexpr unsigned groups = 90;

/** A fleet with more leaders than each VM can exchange heartbeats with all the time. */
SessionWorldConfig manyGroups()
{
    SessionWorldConfig config;
    config.vms_ = vms;
    config.groups_ = groups;
    config.maxConnections_ = 60;
    return config;
}

std::string ledgerOf(unsigned group)
{
    return SessionWorld::databaseOf("ledger", group);
}

/** Time until a write to \p group by a new session at \p vm succeeds, with the client retrying as instructed. */
Duration writeStallsFor(SessionWorld &world, unsigned vm, unsigned group, Duration limit = std::chrono::seconds(20))
{
    const Time start = world.now();
    const std::size_t client = world.open(vm, ledgerOf(group));
    while (world.now() - start < limit && world.ask(client, StatementKind::Write, "WRITE a 1").code_ != ReplyCode::None) {
        world.run(std::chrono::milliseconds(50));
    }
    return world.now() - start;
}

/** A running VM that does not lead \p group. */
unsigned otherVm(const SessionWorld &world, unsigned group, unsigned from = 0)
{
    for (unsigned vm = from; vm < vms; ++vm) {
        if (world.runs(vm) && world.leader(group) != vm) {
            return vm;
        }
    }
    return from;
}

} // namespace

// Guards against a VM that cannot use a group that it meets for the first time: it has no authority, no position and no connection then. It asks the leader,
// whichever VM that is, and the statement waits for no longer than the exchange.
TEST(SessionGroupsOnDemand, anyVmServesAnyGroupAtOnce)
{
    SessionWorld world(manyGroups());
    world.run(startTime);
    ASSERT_TRUE(world.vm(0).sessions_->onDemand_);
    for (unsigned group = 0; group < groups; ++group) {
        ASSERT_TRUE(world.leader(group).has_value()) << group;
        const unsigned vm = (group * 7) % vms;
        EXPECT_LT(toMillis(writeStallsFor(world, vm, group)), 200) << "group " << group << " at VM " << vm;
        const std::size_t reader = world.open((vm + 1) % vms, SessionWorld::databaseOf("dispatch", group));
        EXPECT_EQ(world.ask(reader, StatementKind::Read, "READ a").code_, ReplyCode::None);
    }
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against work of a VM at rest that grows with the number of groups.
TEST(SessionGroupsOnDemand, aVmAtRestTracksOnlyTheGroupsThatItLeads)
{
    SessionWorld world(manyGroups());
    world.run(startTime);
    for (unsigned vm = 0; vm < vms; ++vm) {
        unsigned led = 0;
        for (unsigned group = 0; group < groups; ++group) {
            led += world.leader(group) == vm ? 1 : 0;
        }
        EXPECT_EQ(world.vm(vm).sessions_->trackedGroups_.size(), led) << "vm " << vm;
    }
}

// Guards against a group that stands still when its leader dies. The VMs that use it read its claim from the store, which gives them authority, until another
// VM leads.
TEST(SessionGroupsOnDemand, aGroupIsServedWhileItsLeaderIsLost)
{
    SessionWorld world(manyGroups());
    world.run(startTime);
    const unsigned lost = *world.leader(5);
    world.killVm(lost);
    const unsigned vm = otherVm(world, 5);
    EXPECT_LT(toMillis(writeStallsFor(world, vm, 5)), 2000);
    world.run(std::chrono::seconds(20));
    ASSERT_TRUE(world.leader(5).has_value());
    EXPECT_NE(*world.leader(5), lost);
    EXPECT_LT(toMillis(writeStallsFor(world, vm, 5)), 200);
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against a write that is acknowledged by a replaced primary. A VM holds authority over the primary and is then cut off from all other VMs, from the
// store and from the replicas, while the others replace the primary: its authority runs out before a replica is promoted.
TEST(SessionGroupsOnDemand, aVmThatIsCutOffAcknowledgesNothingAfterAReplacement)
{
    SessionWorld world(manyGroups());
    world.run(startTime);
    constexpr unsigned group = 4;
    constexpr unsigned primary = group * 3;
    const unsigned isolated = otherVm(world, group);
    const std::size_t client = world.open(isolated, ledgerOf(group));
    ASSERT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    for (unsigned vm = 0; vm < vms; ++vm) {
        if (vm != isolated) {
            world.cutVms(isolated, vm, true);
            world.cutVmFromMember(vm, primary, true);
        }
    }
    world.cutVmFromStore(isolated, true);
    const Time cut = world.now();
    while (world.now() - cut < std::chrono::seconds(6)) {
        world.send(client, StatementKind::Write, "WRITE a 2");
        world.send(world.open(otherVm(world, group, isolated + 1), ledgerOf(group)), StatementKind::Write, "WRITE a 3");
        world.run(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(world.promotions(), 1U);
    EXPECT_LT(toMillis(writeStallsFor(world, otherVm(world, group, isolated + 1), group)), 200);
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against a primary that nobody replaces since no client uses its group when it crashes, and against a replacement that takes longer where VMs do not
// exchange the group all the time.
TEST(SessionGroupsOnDemand, aLostPrimaryIsReplaced)
{
    SessionWorld world(manyGroups());
    world.run(startTime);
    constexpr unsigned group = 6;
    world.crashMember(group * 3);
    EXPECT_LT(toMillis(writeStallsFor(world, otherVm(world, group), group)), 4000);
    EXPECT_EQ(world.promotions(), 1U);
    world.crashMember(group * 3 + 3);
    world.run(std::chrono::seconds(5));
    EXPECT_LT(toMillis(writeStallsFor(world, otherVm(world, group + 1), group + 1)), 200);
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against groups that lose acknowledged commits or stay without a leader in a series of faults: VMs are killed, frozen and started again, primaries
// crash, and the store goes away, while clients write at all VMs.
class ManyGroupsUnderFaults : public TestWithParam<unsigned>
{
};

TEST_P(ManyGroupsUnderFaults, keepTheirPromises)
{
    SessionWorldConfig config = manyGroups();
    config.seed_ = GetParam();
    SessionWorld world(config);
    std::mt19937_64 random(GetParam());
    world.run(startTime);
    std::set<unsigned> crashed;
    for (unsigned step = 0; step < 60; ++step) {
        const auto vm = static_cast<unsigned>(random() % vms);
        switch (random() % 8) {
        case 0:
            world.runs(vm) ? world.killVm(vm) : world.startVm(vm);
            break;
        case 1:
            if (world.runs(vm)) {
                world.freezeVm(vm, true);
                world.after(std::chrono::milliseconds(200 + random() % 4000), [&world, vm] {
                    if (world.runs(vm)) {
                        world.freezeVm(vm, false);
                    }
                });
            }
            break;
        case 2: {
            const auto member = static_cast<unsigned>(random() % 12);
            crashed.contains(member) ? world.restartMember(member) : world.crashMember(member);
            crashed.contains(member) ? (void)crashed.erase(member) : (void)crashed.insert(member);
            break;
        }
        case 3:
            world.storeDown(true);
            world.after(std::chrono::milliseconds(500 + random() % 3000), [&world] { world.storeDown(false); });
            break;
        default:
            break;
        }
        for (unsigned client = 0; client < 6; ++client) {
            const auto at = static_cast<unsigned>(random() % vms);
            if (world.runs(at)) {
                const std::size_t session = world.open(at, SessionWorld::databaseOf(random() % 2 == 0 ? "ledger" : "dispatch", random() % 4));
                const bool writes = random() % 2 == 0;
                world.send(session, writes ? StatementKind::Write : StatementKind::Read, writes ? "WRITE a 1" : "READ a");
            }
        }
        world.run(std::chrono::milliseconds(100 + random() % 400));
    }
    for (const unsigned member : crashed) {
        world.restartMember(member);
    }
    for (unsigned vm = 0; vm < vms; ++vm) {
        if (!world.runs(vm)) {
            world.startVm(vm);
        }
    }
    world.run(std::chrono::seconds(25));
    for (unsigned group = 0; group < 4; ++group) {
        EXPECT_LT(toMillis(writeStallsFor(world, 3, group)), 3000) << "group " << group;
    }
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}
INSTANTIATE_TEST_SUITE_P(Seeds, ManyGroupsUnderFaults, Range(1U, 9U));
