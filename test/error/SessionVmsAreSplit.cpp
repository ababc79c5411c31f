#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);
constexpr unsigned vms = 7;
/** VMs of several zones that are cut off from the others, the store and the primary. */
const std::set<unsigned> smaller{1, 3, 5};

/** Separates the smaller part, with one replica, from the rest, or with \p cut false reconnects it. */
void split(SessionWorld &world, bool cut)
{
    constexpr unsigned replica = 2;
    for (const unsigned inside : smaller) {
        world.cutVmFromStore(inside, cut);
        world.cutVmFromMember(inside, 0, cut);
        world.cutVmFromMember(inside, 1, cut);
        for (unsigned outside = 0; outside < vms; ++outside) {
            if (!smaller.contains(outside)) {
                world.cutVms(inside, outside, cut);
                world.cutVmFromMember(outside, replica, cut);
            }
        }
    }
    world.group().member(SessionWorld::memberId(replica)).receivesNothing_ = cut;
}

SessionWorldConfig config()
{
    SessionWorldConfig config;
    config.vms_ = vms;
    return config;
}

} // namespace

// The network splits: three VMs of seven, in several zones, lose the other four, the store and the primary. They cannot run statements that need the primary
// for as long as the split lasts. Their clients are told so at once, in time to ask a VM of the larger part, to which new clients are sent by then.
TEST(SessionVmsAreSplit, theSmallerPartSendsItsClientsToTheLarger)
{
    SessionWorld world(config());
    world.run(startTime);
    const std::size_t inside = world.open(1, "ledger");
    const std::size_t idle = world.open(3, "dispatch");
    ASSERT_EQ(world.ask(inside, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    split(world, true);
    world.run(std::chrono::milliseconds(2500));
    for (unsigned vm = 0; vm < vms; ++vm) {
        EXPECT_EQ(world.ready(vm), !smaller.contains(vm)) << vm;
    }
    const Time asked = world.now();
    const SessionReply refused = world.ask(inside, StatementKind::Write, "WRITE a 2");
    EXPECT_EQ(refused.code_, ReplyCode::Retry);
    EXPECT_THAT(refused.text_, HasSubstr("come back in 2000 ms"));
    EXPECT_LT(toMillis(world.now() - asked), 100);
    const std::size_t outside = world.open(0, "ledger");
    EXPECT_EQ(world.ask(outside, StatementKind::Write, "WRITE a 3").code_, ReplyCode::None);
    world.run(std::chrono::seconds(3));
    EXPECT_TRUE(world.client(idle).closed_);
    EXPECT_EQ(world.promotions(), 0U);
    split(world, false);
    world.run(std::chrono::seconds(2));
    for (unsigned vm = 0; vm < vms; ++vm) {
        EXPECT_TRUE(world.ready(vm)) << vm;
    }
    const std::size_t after = world.open(1, "ledger");
    EXPECT_EQ(world.ask(after, StatementKind::Write, "WRITE a 4").code_, ReplyCode::None);
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Four VMs of seven, one of them the leader, lose power at once. The remaining three hear less than half of the VMs they knew, but still reach the store and
// the primary: they stay ready and serve.
TEST(SessionVmsAreSplit, thoseThatAreLeftOfManyServe)
{
    SessionWorld world(config());
    world.run(startTime);
    ASSERT_TRUE(world.leader().has_value());
    std::set<unsigned> killed{*world.leader()};
    for (unsigned vm = 0; killed.size() < 4; ++vm) {
        killed.insert(vm);
    }
    for (const unsigned vm : killed) {
        world.killVm(vm);
    }
    for (int round = 0; round < 60; ++round) {
        world.run(std::chrono::milliseconds(100));
        for (unsigned vm = 0; vm < vms; ++vm) {
            EXPECT_TRUE(killed.contains(vm) || world.ready(vm)) << vm << " in round " << round;
        }
    }
    for (unsigned vm = 0; vm < vms; ++vm) {
        if (!killed.contains(vm)) {
            const std::size_t client = world.open(vm, "ledger");
            EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None) << vm;
        }
    }
    EXPECT_THAT(world.violations(), IsEmpty());
}

// One VM can no longer reach the primary, which all others reach; it hears the leader and keeps its authority. What it has sent to the primary is not answered,
// and it can serve nothing that needs the primary. A replacement would have taken place within 1.5 s; after that time the VM refers its clients to the other
// VMs at once.
TEST(SessionVmsAreSplit, aVmThatAloneLostThePrimarySendsItsClientsToTheOthers)
{
    SessionWorld world(config());
    world.run(startTime);
    const std::size_t client = world.open(1, "ledger");
    ASSERT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    world.cutVmFromMember(1, 0, true);
    const std::string early = world.send(client, StatementKind::Write, "WRITE a 2");
    world.run(std::chrono::milliseconds(3500));
    EXPECT_EQ(world.answerTo(client, early)->code_, ReplyCode::InDoubt) << "it was sent, and the primary may have run it";
    EXPECT_FALSE(world.ready(1));
    EXPECT_TRUE(world.ready(0));
    const Time asked = world.now();
    const SessionReply refused = world.ask(client, StatementKind::Write, "WRITE a 3");
    EXPECT_EQ(refused.code_, ReplyCode::Retry);
    EXPECT_LT(toMillis(world.now() - asked), 100);
    EXPECT_EQ(world.promotions(), 0U);
    const std::size_t outside = world.open(0, "ledger");
    EXPECT_EQ(world.ask(outside, StatementKind::Write, "WRITE a 4").code_, ReplyCode::None);
    world.cutVmFromMember(1, 0, false);
    world.run(std::chrono::seconds(2));
    EXPECT_TRUE(world.ready(1));
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// For some seconds members hold the dead connections of VMs that lost power, and refuse new ones because they are full. A VM that starts then receives no
// answer from the primary, which others hear, but it reaches the primary and will soon get a connection. It stays ready, and its statements wait for a
// connection rather than being refused at once.
TEST(SessionVmsAreSplit, aPrimaryThatIsFullIsNotLost)
{
    SessionWorld world(config());
    world.run(startTime);
    world.killVm(1);
    world.memberIsFull(0, true);
    world.run(std::chrono::milliseconds(500));
    world.startVm(1);
    world.run(std::chrono::milliseconds(2500));
    EXPECT_TRUE(world.ready(1));
    EXPECT_THAT(world.logged(LogNumber::VmCutOff), IsEmpty());
    const std::size_t client = world.open(1, "ledger");
    const std::string id = world.send(client, StatementKind::Write, "WRITE a 1");
    world.run(std::chrono::milliseconds(500));
    EXPECT_EQ(world.answerTo(client, id), nullptr) << "it waits";
    world.memberIsFull(0, false);
    world.run(std::chrono::milliseconds(400));
    ASSERT_NE(world.answerTo(client, id), nullptr);
    EXPECT_EQ(world.answerTo(client, id)->code_, ReplyCode::None);
    EXPECT_THAT(world.violations(), IsEmpty());
}
