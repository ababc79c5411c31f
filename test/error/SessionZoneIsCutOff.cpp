#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);
constexpr unsigned vms = 6; // Two a zone.

/** Cuts zone 0, with its member, from the other zones and from the store. */
void cutZone(SessionWorld &world, bool cut)
{
    for (unsigned inside = 0; inside < vms; inside += 3) {
        world.cutVmFromStore(inside, cut);
        world.cutVmFromMember(inside, 1, cut);
        world.cutVmFromMember(inside, 2, cut);
        for (unsigned outside = 0; outside < vms; ++outside) {
            if (outside % 3 != 0) {
                world.cutVms(inside, outside, cut);
                world.cutVmFromMember(outside, 0, cut);
            }
        }
    }
}

} // namespace

// A zone is cut off with the primary in it; its clients still reach its VMs. These say within two seconds that they are not ready, so that clients are sent
// to the zones that go on, where a replica is promoted. Sessions at rest are let go. When the cut heals the VMs are ready at once.
TEST(SessionZoneIsCutOff, itsClientsAreSentToTheOthers)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    SessionWorld world(config);
    world.run(startTime);
    const std::size_t resting = world.open(0, "dispatch");
    cutZone(world, true);
    world.run(std::chrono::seconds(2));
    EXPECT_FALSE(world.ready(0));
    EXPECT_FALSE(world.ready(3));
    for (const unsigned outside : {1U, 2U, 4U, 5U}) {
        EXPECT_TRUE(world.ready(outside)) << outside;
    }
    world.run(std::chrono::seconds(3));
    EXPECT_TRUE(world.client(resting).closed_);
    EXPECT_EQ(world.promotions(), 1U);
    const std::size_t client = world.open(1, "ledger");
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    cutZone(world, false);
    world.run(std::chrono::seconds(1));
    EXPECT_TRUE(world.ready(0));
    EXPECT_THAT(world.violations(), IsEmpty());
}

// One VM of several in its zone loses all else, such as by its own link. It alone says that it is not ready; nobody else does.
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

// All VMs of the other zones are killed at once. Those that are left still reach the members, and all clients now depend on them: they stay ready.
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

// A VM of the zone starts while the zone is cut off. It has heard nobody; the store listed the others before it was lost, too. If this VM said that it is ready,
// the platform would go on sending the zone's clients to it, where nothing can be served.
TEST(SessionZoneIsCutOff, aVmThatStartsDuringTheCutIsNotReadyEither)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    SessionWorld world(config);
    world.run(startTime);
    cutZone(world, true);
    world.killVm(3);
    world.startVm(3);
    world.cutVmFromStore(3, false);
    world.run(std::chrono::milliseconds(400));
    world.cutVmFromStore(3, true);
    world.run(std::chrono::seconds(2));
    EXPECT_FALSE(world.ready(0));
    EXPECT_FALSE(world.ready(3));
}
