#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

// Guards against statements that are aborted because they were sent to a leaving replica. The replica announces that it leaves, while clients send more reads
// than the other members have idle connections for. It must get no new statements once the VMs know, even if its connection is the only idle one.
TEST(SessionMemberLeaves, aReplicaGetsNoNewWork)
{
    SessionWorldConfig config;
    config.maxConnections_ = 4;
    SessionWorld world(config);
    world.run(std::chrono::seconds(3));
    const std::size_t writer = world.open(0, "ledger");
    std::vector<std::size_t> readers;
    for (unsigned reader = 0; reader < 16; ++reader) {
        readers.push_back(world.open(reader % 4, "history"));
    }
    const auto load = [&](Duration duration) {
        const Time end = world.now() + duration;
        while (world.now() < end) {
            world.send(writer, StatementKind::Write, "WRITE a 1");
            for (const std::size_t reader : readers) {
                world.send(reader, StatementKind::Read, "READ a");
            }
            world.run(std::chrono::milliseconds(50));
        }
    };
    load(std::chrono::seconds(1));
    ASSERT_GT(world.lastRun(1), Time());
    world.memberLeaves(1);
    const Time left = world.now();
    load(std::chrono::seconds(7));
    EXPECT_LT(toMillis(world.lastRun(1) - left), 4000);
    EXPECT_GT(toMillis(world.lastRun(2) - left), 6500);
}

// Guards against the refusal of a write that arrives between the revocation of a leaving primary and the next review of its group.
TEST(SessionMemberLeaves, aWriteThatArrivesAsThePrimaryIsRevokedIsServed)
{
    constexpr Duration step = std::chrono::milliseconds(4);
    for (Duration delay{}; delay < std::chrono::milliseconds(1500); delay += step) {
        SessionWorld world;
        world.run(std::chrono::seconds(3));
        const std::size_t client = world.open(0, "ledger");
        ASSERT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
        world.memberLeaves(0);
        world.run(delay);
        EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 2").code_, ReplyCode::None) << toMillis(delay) << " ms";
    }
}
