#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

/** Time after a start of all VMs by which clients must be served again. */
constexpr Duration recoveryTime = std::chrono::seconds(18);

/** A fleet whose VMs together need more of the store's link than it has within the timeout of a read. */
SessionWorldConfig fleet(unsigned vms, unsigned groups)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    config.groups_ = groups;
    config.maxConnections_ = 269;
    config.slots_ = 5;
    config.transfers_.configurationBytes_ = 480e3;
    config.transfers_.entryBytes_ = 260;
    config.transfers_.vmBytesPerSecond_ = 2.5e6;
    constexpr double secondsForAllVms = 5;
    config.transfers_.storeBytesPerSecond_ = config.transfers_.configurationBytes_ * vms / secondsForAllVms;
    return config;
}

unsigned countReady(const SessionWorld &world, unsigned vms)
{
    unsigned ready = 0;
    for (unsigned vm = 0; vm < vms; ++vm) {
        ready += world.ready(vm) ? 1 : 0;
    }
    return ready;
}

std::uint64_t callsOf(const SessionWorld &world, const std::string &kind)
{
    const auto found = world.storeCalls().find(kind);
    return found == world.storeCalls().end() ? 0 : found->second;
}

} // namespace

// Guards against a fleet that never gets ready. All VMs start at once and read the configuration and the members; if all read them from the store, its link is
// shared by so many answers that none arrives within its timeout, and each is asked for again.
TEST(SessionFleetStarts, everyVmIsReadyThoughTheStoreCannotServeAllAtOnce)
{
    constexpr unsigned vms = 150;
    SessionWorld world(fleet(vms, 20));
    world.run(recoveryTime);
    EXPECT_EQ(countReady(world, vms), vms);
    EXPECT_LT(callsOf(world, "read configuration"), vms);
    EXPECT_LT(callsOf(world, "read members"), vms);
}

// Guards against a fleet that does not recover after most of its VMs lost power at once: they read from those that still run.
TEST(SessionFleetStarts, theVmsThatLostPowerAreReadyAgain)
{
    constexpr unsigned vms = 150;
    SessionWorld world(fleet(vms, 20));
    world.run(recoveryTime);
    constexpr unsigned lost = vms * 55 / 100;
    for (unsigned vm = 0; vm < lost; ++vm) {
        world.killVm(vm);
    }
    world.run(std::chrono::seconds(2));
    for (unsigned vm = 0; vm < lost; ++vm) {
        world.startVm(vm);
    }
    world.run(recoveryTime);
    EXPECT_EQ(countReady(world, vms), vms);
}
