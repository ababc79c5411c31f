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

// One VM of several in its zone loses all others, such as by its own link. It alone says that it is not ready; nobody else does.
TEST(SessionZoneIsCutOff, aSingleVmThatIsCutOffSpeaksForItselfOnly)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    SessionWorld world(config);
    world.run(startTime);
    for (unsigned other = 1; other < vms; ++other) {
        world.cutVms(0, other, true);
    }
    world.run(std::chrono::seconds(2));
    EXPECT_FALSE(world.ready(0));
    for (unsigned other = 1; other < vms; ++other) {
        EXPECT_TRUE(world.ready(other)) << other;
    }
}
