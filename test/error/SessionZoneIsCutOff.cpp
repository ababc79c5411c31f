#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);
constexpr unsigned zones = 3;
constexpr unsigned vms = 2 * zones;

/** Cuts off \p zone, with its member, from the other zones and from the store, or with \p cut false reconnects it. */
void cutZone(SessionWorld &world, unsigned zone, bool cut)
{
    for (unsigned inside = zone; inside < vms; inside += zones) {
        world.cutVmFromStore(inside, cut);
        for (unsigned outside = 0; outside < vms; ++outside) {
            if (outside % zones != zone) {
                world.cutVms(inside, outside, cut);
                world.cutVmFromMember(inside, outside % zones, cut);
                world.cutVmFromMember(outside, zone, cut);
            }
        }
    }
}

} // namespace

// A zone that contains the primary is cut off, but its clients still reach its VMs. Within two seconds these VMs report that they are not ready, so that
// clients are sent to the other zones, where a replica is promoted. Idle sessions are closed. When the network recovers the VMs are ready at once.
TEST(SessionZoneIsCutOff, itsClientsAreSentToTheOthers)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    SessionWorld world(config);
    world.run(startTime);
    const std::size_t idle = world.open(0, "dispatch");
    cutZone(world, 0, true);
    world.run(std::chrono::seconds(2));
    EXPECT_FALSE(world.ready(0));
    EXPECT_FALSE(world.ready(3));
    for (const unsigned outside : {1U, 2U, 4U, 5U}) {
        EXPECT_TRUE(world.ready(outside)) << outside;
    }
    world.run(std::chrono::seconds(3));
    EXPECT_TRUE(world.client(idle).closed_);
    EXPECT_EQ(world.promotions(), 1U);
    const std::size_t client = world.open(1, "ledger");
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    cutZone(world, 0, false);
    world.run(std::chrono::seconds(1));
    EXPECT_TRUE(world.ready(0));
    EXPECT_THAT(world.violations(), IsEmpty());
}

// A zone is cut off from the primary and from up-to-date replicas, and clients inside keep sending statements. Once a VM has detected this, nothing it reaches
// may run a write, or a read as fresh as its route requires. It refuses such statements at once and states after what time other zones take over, since a
// client that waits until its timeout has no time left to ask there. Until then statements wait, and when the network recovers all are served.
TEST(SessionZoneIsCutOff, whatNobodyCanServeIsRefusedAtOnce)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    SessionWorld world(config);
    world.run(startTime);
    const std::size_t writer = world.open(1, "ledger");
    const std::size_t reader = world.open(1, "history");
    ASSERT_EQ(world.ask(writer, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    cutZone(world, 1, true);
    world.run(std::chrono::milliseconds(300));
    const std::string early = world.send(writer, StatementKind::Write, "WRITE a 2");
    world.run(std::chrono::milliseconds(300));
    EXPECT_EQ(world.answerTo(writer, early), nullptr) << "the cut may be over in a moment";
    world.run(std::chrono::seconds(2));
    for (const auto &[client, kind, text] : {std::tuple(writer, StatementKind::Write, "WRITE a 3"), std::tuple(reader, StatementKind::Read, "READ a")}) {
        const Time asked = world.now();
        const SessionReply reply = world.ask(client, kind, text);
        EXPECT_EQ(reply.code_, ReplyCode::Retry) << text;
        EXPECT_THAT(reply.text_, HasSubstr("come back in 2000 ms")) << text;
        EXPECT_LT(toMillis(world.now() - asked), 100) << text;
    }
    cutZone(world, 1, false);
    world.run(std::chrono::seconds(2));
    const std::size_t after = world.open(1, "ledger");
    EXPECT_EQ(world.ask(after, StatementKind::Write, "WRITE a 4").code_, ReplyCode::None);
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// One VM of several in its zone loses all others, for example through a fault of its own link. It alone reports that it is not ready.
TEST(SessionZoneIsCutOff, aSingleVmThatIsCutOffSpeaksForItselfOnly)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    SessionWorld world(config);
    world.run(startTime);
    for (unsigned other = 1; other < vms; ++other) {
        world.cutVms(0, other, true);
    }
    for (unsigned member = 0; member < 3; ++member) {
        world.cutVmFromMember(0, member, true);
    }
    world.run(std::chrono::seconds(2));
    EXPECT_FALSE(world.ready(0));
    for (unsigned other = 1; other < vms; ++other) {
        EXPECT_TRUE(world.ready(other)) << other;
    }
}

// All VMs of the other zones are killed at once. The remaining VMs still reach the members, and all clients depend on them: they stay ready.
TEST(SessionZoneIsCutOff, vmsThatAreLeftAloneStayReady)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    SessionWorld world(config);
    world.run(startTime);
    const std::size_t client = world.open(0, "dispatch");
    for (const unsigned outside : {1U, 2U, 4U, 5U}) {
        world.killVm(outside);
    }
    for (int round = 0; round < 40; ++round) {
        EXPECT_TRUE(world.ready(0)) << round;
        world.ask(client, StatementKind::Read, "READ a");
        world.run(std::chrono::milliseconds(100));
    }
    EXPECT_FALSE(world.client(client).closed_);
}

// A VM starts while its zone is cut off. It has heard no other VM; the store listed the others before it became unreachable. If this VM reported ready, the
// platform would keep sending the zone's clients to it, where nothing can be served.
TEST(SessionZoneIsCutOff, aVmThatStartsDuringTheCutIsNotReadyEither)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    SessionWorld world(config);
    world.run(startTime);
    cutZone(world, 0, true);
    world.killVm(3);
    world.startVm(3);
    world.cutVmFromStore(3, false);
    world.run(std::chrono::milliseconds(400));
    world.cutVmFromStore(3, true);
    world.run(std::chrono::seconds(2));
    EXPECT_FALSE(world.ready(0));
    EXPECT_FALSE(world.ready(3));
}

// The zone of the group's leader is cut off; the primary is in another zone and serves. The leader hears neither the primary nor any VM there. It must not
// consider the primary lost, since it would go on to replace it when the network recovers, and writes in all zones would stop for about two seconds.
TEST(SessionZoneIsCutOff, itsLeaderDoesNotTakeThePrimaryForLost)
{
    unsigned seedsRun = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SessionWorldConfig config;
        config.vms_ = vms;
        config.seed_ = seed;
        SessionWorld world(config);
        world.run(startTime + std::chrono::milliseconds(seed * 13));
        const unsigned zone = world.leader().value_or(0) % zones;
        if (zone == 0) {
            continue; // The primary's zone.
        }
        ++seedsRun;
        cutZone(world, zone, true);
        world.run(std::chrono::seconds(6));
        EXPECT_THAT(world.logged(LogNumber::PrimaryRevoked), IsEmpty()) << "seed " << seed;
        cutZone(world, zone, false);
        world.run(std::chrono::milliseconds(500));
        const std::size_t client = world.open(0, "ledger");
        EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1", std::chrono::milliseconds(100)).code_, ReplyCode::None) << "seed " << seed;
        EXPECT_EQ(world.promotions(), 0U) << "seed " << seed;
    }
    EXPECT_GT(seedsRun, 10U);
}

// The leader is cut off from the primary and from all other VMs, which still reach the primary. Packets are answered with resets, so that connections seem
// refused at once. The leader must not consider the primary lost because of heartbeats received before the cut: the primary would stay revoked until the cut
// ends.
TEST(SessionZoneIsCutOff, aLeaderWhoseConnectionsAreResetByTheCutRevokesNothing)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SessionWorldConfig config;
        config.seed_ = seed;
        SessionWorld world(config);
        world.run(std::chrono::seconds(3) + std::chrono::milliseconds(13 * seed));
        const unsigned leader = *world.leader();
        const std::size_t client = world.open(leader, "ledger");
        ASSERT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
        world.cutsReset(true);
        world.cutVmFromMember(leader, 0, true);
        for (unsigned vm = 0; vm < 4; ++vm) {
            if (vm != leader) {
                world.cutVms(leader, vm, true);
            }
        }
        world.resetConnections(0); // The others open new ones.
        world.run(std::chrono::seconds(4));
        EXPECT_THAT(world.logged(LogNumber::PrimaryRevoked), IsEmpty()) << "seed " << seed;
    }
}
