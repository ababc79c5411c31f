#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(4);
/** A confirmed configuration is in force everywhere by then. */
constexpr Duration applyBound = std::chrono::seconds(3);

ConfigVersion versionAt(SessionWorld &world, unsigned vm)
{
    return world.vm(vm).sessions_->configuration_->version_;
}

/** The VM that \p vm asks for its configuration at present. */
std::optional<unsigned> askedBy(SessionWorld &world, unsigned vm)
{
    for (const auto &[id, call] : world.vm(vm).sessions_->calls_) {
        if (!call.peer_.empty() && std::holds_alternative<ReadConfiguration>(call.request_)) {
            return static_cast<unsigned>(std::stoul(call.peer_));
        }
    }
    return std::nullopt;
}

/** Lets time pass until \p vm asks another for a configuration, and returns that one. */
std::optional<unsigned> runUntilItAsks(SessionWorld &world, unsigned vm)
{
    const Time end = world.now() + applyBound;
    while (!askedBy(world, vm) && world.now() < end) {
        world.run(std::chrono::microseconds(100));
    }
    return askedBy(world, vm);
}

} // namespace

// Guards against a wait for the VM that told of a change and then stands still, while all others have it.
TEST(SessionConfigurationIsLate, notBehindAVmThatToldOfItAndStandsStill)
{
    SessionWorldConfig config;
    config.vms_ = 8;
    SessionWorld world(config);
    world.run(startTime);
    world.cutVmFromStore(7, true);
    world.newConfiguration([](SessionConfiguration &) {});
    const Time confirmed = world.now();
    const std::optional<unsigned> teller = runUntilItAsks(world, 7);
    ASSERT_TRUE(teller.has_value());
    world.freezeVm(*teller, true);
    world.run(confirmed + applyBound - world.now());
    EXPECT_EQ(versionAt(world, 7), ConfigVersion(5));
}
