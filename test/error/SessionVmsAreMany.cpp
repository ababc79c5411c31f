#include "ConnectionSharing.h"
#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(4);

/** A fleet of more VMs than a member accepts connections. */
SessionWorldConfig manyVms()
{
    SessionWorldConfig config;
    config.vms_ = 24;
    config.maxConnections_ = 20;
    return config;
}

/** Number of connections of all VMs to the member, including those for reports. */
unsigned connectionsTo(SessionWorld &world, unsigned member)
{
    unsigned count = 0;
    for (unsigned vm = 0; vm < 24; ++vm) {
        const auto &members = world.vm(vm).sessions_->members_;
        const auto found = members.find(SessionWorld::memberId(member));
        if (found != members.end()) {
            count += static_cast<unsigned>(found->second.connections_.size()) + (found->second.control_ ? 1 : 0);
        }
    }
    return count;
}

/** Kinds of the pending store calls of a VM: "watch" or "other". */
std::vector<std::string> storeCallsOf(SessionWorld &world, unsigned vm)
{
    std::vector<std::string> kinds;
    for (const auto &[id, call] : world.vm(vm).sessions_->calls_) {
        kinds.push_back(std::holds_alternative<WatchConfiguration>(call.request_) ? "watch" : "other");
    }
    return kinds;
}

} // namespace

// Clients of 24 VMs write one after the other, while a member accepts 20 connections. Every write succeeds: its VM opens a connection to the primary and closes
// it soon after. Guards against VMs that keep their connections and leave none for the last ones, whose clients would be refused.
TEST(SessionVmsAreMany, everyVmWritesThoughThereAreFewerConnections)
{
    SessionWorld world(manyVms());
    world.run(startTime);
    for (unsigned round = 0; round < 3; ++round) {
        for (unsigned vm = 0; vm < 24; ++vm) {
            const std::size_t client = world.open(vm, "ledger");
            EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None) << "vm " << vm;
            world.close(client);
            EXPECT_LE(connectionsTo(world, 0), 20U);
        }
    }
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// All 24 VMs are idle. The members keep connections of only some of them, at most half of what they accept, and the primary additionally those for the reports
// to one leader. Guards against each VM polling the primary by itself, which would make it refuse the last ones.
TEST(SessionVmsAreMany, idleVmsLeaveHalfOfTheConnectionsFree)
{
    SessionWorld world(manyVms());
    world.run(startTime);
    for (unsigned vm = 0; vm < 24; ++vm) {
        const std::size_t client = world.open(vm, "dispatch");
        ASSERT_EQ(world.ask(client, StatementKind::Read, "READ a").code_, ReplyCode::None) << "vm " << vm;
    }
    world.run(std::chrono::seconds(3));
    for (unsigned member = 0; member < 3; ++member) {
        EXPECT_LE(connectionsTo(world, member), 11U) << "member " << member;
    }
}

// The primary crashes while 24 VMs serve writes. Most of them learn of it only from the leader, which polls the primary on behalf of all. Writes continue at a
// replica in about the time that a small fleet needs.
TEST(SessionVmsAreMany, thePrimaryIsReplacedAsQuicklyAsWithFew)
{
    SessionWorld world(manyVms());
    world.run(startTime);
    world.crashMember(0);
    const Time lost = world.now();
    const std::size_t client = world.open(7, "ledger");
    while (world.now() - lost < std::chrono::seconds(10) && world.ask(client, StatementKind::Write, "WRITE a 1").code_ != ReplyCode::None) {
        world.run(std::chrono::milliseconds(50));
    }
    EXPECT_LT(toMillis(world.now() - lost), 2500);
    EXPECT_EQ(world.promotions(), 1U);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// A new configuration is written. Only leaders watch the store; on all other VMs it is active within two seconds, announced by heartbeat.
TEST(SessionVmsAreMany, aConfigurationReachesThoseThatDoNotWatch)
{
    SessionWorld world(manyVms());
    world.run(startTime);
    unsigned watching = 0;
    for (unsigned vm = 0; vm < 24; ++vm) {
        watching += Value(storeCallsOf(world, vm), Contains("watch")) ? 1 : 0;
    }
    EXPECT_LE(watching, 2U);
    world.newConfiguration([](SessionConfiguration &configuration) { configuration.databases_["added"] = configuration.databases_["ledger"]; });
    world.run(std::chrono::seconds(2));
    for (unsigned vm = 0; vm < 24; ++vm) {
        EXPECT_TRUE(world.vm(vm).sessions_->configuration_->databases_.contains("added")) << "vm " << vm;
    }
}

// A configuration of many routes takes 2.1 s over a VM's small, busy link, and watches report nothing, so that VMs find it by checks. Guards against a timeout
// of 2 s for checks, after which they restarted: each VM filled its link with data that it discarded, and kept the previous version for as long as the link was
// busy. In one burst 39 of 56 checks ended so, and heartbeats that announced the newer version were delayed behind them. A check is allowed as much time as a
// read.
TEST(SessionVmsAreMany, aConfigurationOverASmallLinkIsInForceInTime)
{
    SessionWorld world(manyVms());
    world.run(startTime);
    world.configurationTakes(std::chrono::milliseconds(2100));
    world.watchesAreDeaf(true);
    world.newConfiguration([](SessionConfiguration &configuration) { configuration.databases_["added"] = configuration.databases_["ledger"]; });
    world.run(std::chrono::seconds(5));
    for (unsigned vm = 0; vm < 24; ++vm) {
        EXPECT_TRUE(world.vm(vm).sessions_->configuration_->databases_.contains("added")) << "vm " << vm;
    }
}

// The primary crashes and the platform does not answer promotion calls, so that no primary is known for seconds. Guards against VMs that keep a persistent
// connection to the primary recording a member with an empty id meanwhile.
TEST(SessionVmsAreMany, noVmStaysWithAPrimaryThatIsNotNamed)
{
    SessionWorld world(manyVms());
    world.run(startTime);
    world.promotionsDown(true);
    world.crashMember(0);
    bool unnamed = false;
    for (unsigned step = 0; step < 60; ++step) {
        world.run(std::chrono::milliseconds(50));
        for (unsigned vm = 0; vm < 24; ++vm) {
            const SessionGroup &group = world.vm(vm).sessions_->groups_.begin()->second;
            unnamed = unnamed || group.authority_.primary_ == MemberId();
            ASSERT_FALSE(group.persistentMembers_.contains(MemberId())) << "vm " << vm;
        }
    }
    EXPECT_TRUE(unnamed);
}

// The primary is briefly full and refuses a connection for a write. A primary that refuses is running and reachable. Guards against a VM that considers it
// unreachable and refuses every statement for it as cut off, so that it never finds out that the primary accepts connections again.
TEST(SessionVmsAreMany, aPrimaryThatWasFullIsUsedAgain)
{
    SessionWorld world(manyVms());
    world.run(startTime);
    world.memberIsFull(0, true);
    const std::size_t client = world.open(7, "ledger");
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::Retry);
    world.memberIsFull(0, false);
    world.run(std::chrono::seconds(4));
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// One VM does not reach the primary for two seconds, and a client's write is not answered. Once the network recovers the VM must use the primary again, even
// without any statement in the meantime. Guards against a VM that relies on the last failure until a statement succeeds, but refuses every statement because of
// it, and so stays cut off forever.
TEST(SessionVmsAreMany, aPrimaryThatWasSilentIsUsedAgain)
{
    SessionWorld world(manyVms());
    world.run(startTime);
    world.cutVmFromMember(7, 0, true);
    const std::size_t client = world.open(7, "ledger");
    EXPECT_NE(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    world.run(std::chrono::seconds(2));
    world.cutVmFromMember(7, 0, false);
    world.run(std::chrono::seconds(3));
    EXPECT_EQ(world.ask(world.open(7, "ledger"), StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// A read at a replica is not answered in time. Once the network recovers the replica must serve again. Guards against a replica that is skipped until it has
// answered, but is never asked because others answer, so that its load stays on the others.
TEST(SessionVmsAreMany, aReplicaThatWasSilentServesAgain)
{
    SessionWorld world(manyVms());
    world.run(startTime);
    const std::size_t client = world.open(7, "dispatch");
    ASSERT_EQ(world.ask(client, StatementKind::Read, "READ a").code_, ReplyCode::None);
    world.cutVmFromMember(7, 1, true);
    world.ask(client, StatementKind::Read, "READ a");
    world.run(std::chrono::seconds(2));
    world.cutVmFromMember(7, 1, false);
    world.run(std::chrono::seconds(8));
    const Time before = world.now();
    for (unsigned round = 0; round < 4; ++round) {
        EXPECT_EQ(world.ask(client, StatementKind::Read, "READ a").code_, ReplyCode::None);
    }
    EXPECT_GT(world.lastRun(1), before);
}

// 60 VMs start at once, and each hears all others. Guards against a log line for each VM at each VM: 3,500 lines within a second, for which lines on statements
// were dropped.
TEST(SessionVmsAreMany, aFleetThatStartsIsToldOfInAFewLines)
{
    SessionWorldConfig config;
    config.vms_ = 60;
    SessionWorld world(config);
    world.run(startTime);
    EXPECT_LT(world.logged(LogNumber::VmSeen).size() + world.logged(LogNumber::VmsSeen).size(), 60U * 15U);
    EXPECT_THAT(world.logged(LogNumber::VmsSeen), Not(IsEmpty()));
}
