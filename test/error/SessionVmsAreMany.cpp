#include "ConnectionSharing.h"
#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(4);

/** More VMs than a member takes connections. */
SessionWorldConfig manyVms()
{
    SessionWorldConfig config;
    config.vms_ = 24;
    config.maxConnections_ = 20;
    return config;
}

/** Connections of all VMs to the member, those for reports too. */
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

/** Calls to the store that wait for an answer, "watch" or "other". */
std::vector<std::string> storeCallsOf(SessionWorld &world, unsigned vm)
{
    std::vector<std::string> kinds;
    for (const auto &[id, call] : world.vm(vm).sessions_->calls_) {
        kinds.push_back(std::holds_alternative<WatchConfiguration>(call.request_) ? "watch" : "other");
    }
    return kinds;
}

} // namespace

// Clients of 24 VMs write one after the other, while a member takes 20 connections. Each write is done: its VM opens a connection to the primary and closes it
// soon after. A VM that kept its connection would leave none for the last ones, whose clients were refused.
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

// All 24 VMs are idle. The members keep connections of some of them only, at most half of what they take, and the primary those of one leader's reports besides;
// had each VM asked the primary by itself, it would have refused the last ones.
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

// The primary's process is gone while 24 VMs serve writes. Most of them hear of it by the leader alone, which asks the primary for all.
// Writes go on at a replica in about the time that few VMs need.
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

// A new configuration is written. Only leaders watch the store; all other VMs have the new one in force within two seconds, by heartbeat.
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

// A configuration of many routes takes 2.1 s over a VM's small, busy link, and watches hear nothing, so that VMs find it by checks. A check was given up after 2 s and began
// anew: each VM filled its link with what it then threw away, and was served by the version before for as long as the link was busy. Of 56 checks of a burst 39 ended so, while the word
// of the newer version, which had come by heartbeat, waited behind them. A check has the time that a read has.
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

// The primary's process is gone, and the platform does not answer calls for another, so that no primary is named for seconds. VMs that stay connected to the primary then have none to stay connected to; they once noted a member
// without a name as such.
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
            ASSERT_FALSE(group.residences_.contains(MemberId())) << "vm " << vm;
        }
    }
    EXPECT_TRUE(unnamed);
}

// The primary is full for a moment, and refuses a write of one VM's client. A primary that refuses runs and is reached. The VM once took it for unreachable, sent every statement for it back at once
// as cut off, and so never found out that it took connections again.
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

// One VM does not reach the primary for two seconds, and a write of its client is not answered. Once the way is free again the VM uses the primary, though nobody asks it to meanwhile: a VM that
// believed the last failure until a statement showed otherwise, and sent every statement back for it, stayed cut off for the rest of its life.
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

// A read at a replica is not answered in time. Once the way is free again the replica serves: one that was passed over until it had answered, and was not asked because others answered, left its
// load to them for good.
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

// 60 VMs start at once, and each hears of all others. Guards against a line for each VM at each VM, 3,500 of them within a second, for which lines of statements were dropped.
TEST(SessionVmsAreMany, aFleetThatStartsIsToldOfInAFewLines)
{
    SessionWorldConfig config;
    config.vms_ = 60;
    SessionWorld world(config);
    world.run(startTime);
    EXPECT_LT(world.logged(LogNumber::VmSeen).size() + world.logged(LogNumber::VmsSeen).size(), 60U * 15U);
    EXPECT_THAT(world.logged(LogNumber::VmsSeen), Not(IsEmpty()));
}
