#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);

} // namespace

// The platform asks a VM to shut down. The VM reports at once that it is not ready, still answers requests, closes sessions between requests, and exits in
// time. An open transaction may complete.
TEST(SessionVmEnds, gracefullyAndCutsNothing)
{
    SessionWorld world;
    world.run(startTime);
    const std::size_t idle = world.open(0, "ledger");
    const std::size_t busy = world.open(0, "ledger");
    world.drainVm(0);
    world.run(std::chrono::milliseconds(60));
    EXPECT_FALSE(world.ready(0));
    EXPECT_EQ(world.ask(busy, StatementKind::Begin).code_, ReplyCode::None);
    EXPECT_EQ(world.ask(busy, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    world.run(std::chrono::seconds(2));
    EXPECT_FALSE(world.client(busy).closed_);
    EXPECT_EQ(world.ask(busy, StatementKind::Commit).code_, ReplyCode::None);
    world.run(std::chrono::seconds(1));
    EXPECT_TRUE(world.client(idle).closed_);
    EXPECT_TRUE(world.client(busy).closed_);
    EXPECT_FALSE(world.runs(0));
}

// A leader that shuts down gracefully releases its claim: another VM leads within a second, and writes do not stop.
TEST(SessionVmEnds, aLeaderThatEndsIsFollowedAtOnce)
{
    SessionWorld world;
    world.run(startTime);
    const unsigned leader = *world.leader();
    world.drainVm(leader);
    const std::size_t client = world.open((leader + 1) % 4, "ledger");
    for (int round = 0; round < 40; ++round) {
        EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None) << round;
        world.run(std::chrono::milliseconds(50));
    }
    EXPECT_TRUE(world.leader().has_value());
    EXPECT_NE(world.leader(), leader);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// All VMs lose power at once and start again without any state. They read configuration, members and claims from the store and serve within seconds.
TEST(SessionVmEnds, allAtOnceAndServeAgain)
{
    SessionWorld world;
    world.run(startTime);
    for (unsigned vm = 0; vm < 4; ++vm) {
        world.killVm(vm);
    }
    world.run(std::chrono::milliseconds(600));
    for (unsigned vm = 0; vm < 4; ++vm) {
        world.startVm(vm);
    }
    world.run(std::chrono::seconds(3));
    for (unsigned vm = 0; vm < 4; ++vm) {
        const std::size_t client = world.open(vm, "ledger");
        EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None) << vm;
    }
    EXPECT_EQ(world.promotions(), 0U);
    EXPECT_THAT(world.violations(), IsEmpty());
}
