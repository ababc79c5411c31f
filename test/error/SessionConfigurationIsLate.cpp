#include "support/SessionWorld.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(4);
/** Time within which a confirmed configuration must be active on every VM. */
constexpr Duration applyBound = std::chrono::seconds(3);

ConfigVersion versionAt(SessionWorld &world, unsigned vm)
{
    return world.vm(vm).sessions_->configuration_->version_;
}

/** VM that \p vm is currently asking for its configuration, other than \p others. */
std::optional<unsigned> askedBy(SessionWorld &world, unsigned vm, const std::set<unsigned> &others)
{
    for (const auto &[id, call] : world.vm(vm).sessions_->calls_) {
        const bool asksVm = !call.peer_.empty() && std::holds_alternative<ReadConfiguration>(call.request_);
        if (asksVm && !others.contains(static_cast<unsigned>(std::stoul(call.peer_)))) {
            return static_cast<unsigned>(std::stoul(call.peer_));
        }
    }
    return std::nullopt;
}

/** Runs until \p vm asks a VM other than \p others for a configuration, and returns that VM. */
std::optional<unsigned> runUntilItAsks(SessionWorld &world, unsigned vm, const std::set<unsigned> &others = {})
{
    const Time end = world.now() + applyBound;
    while (!askedBy(world, vm, others) && world.now() < end) {
        world.run(std::chrono::microseconds(100));
    }
    return askedBy(world, vm, others);
}

} // namespace

// Guards against waiting for a VM that announced a new configuration and was then paused, while all other VMs have it.
TEST(SessionConfigurationIsLate, notBehindAVmThatToldOfItAndStandsStill)
{
    SessionWorldConfig config;
    config.vms_ = 8;
    SessionWorld world(config);
    world.run(startTime);
    world.cutVmFromStore(7, true);
    world.newConfiguration([](SessionConfiguration &) {});
    const Time confirmed = world.now();
    const std::optional<unsigned> newerPeer = runUntilItAsks(world, 7);
    ASSERT_TRUE(newerPeer.has_value());
    world.freezeVm(*newerPeer, true);
    world.run(confirmed + applyBound - world.now());
    EXPECT_EQ(versionAt(world, 7), ConfigVersion(5));
}

// Guards against the same failure if the VMs that are asked next are paused as well.
TEST(SessionConfigurationIsLate, notBehindSeveralVmsThatStandStill)
{
    SessionWorldConfig config;
    config.vms_ = 8;
    SessionWorld world(config);
    world.run(startTime);
    world.cutVmFromStore(7, true);
    world.newConfiguration([](SessionConfiguration &) {});
    const Time confirmed = world.now();
    std::set<unsigned> frozen;
    while (frozen.size() < 3) {
        const std::optional<unsigned> newerPeer = runUntilItAsks(world, 7, frozen);
        ASSERT_TRUE(newerPeer.has_value());
        frozen.insert(*newerPeer);
        world.freezeVm(*newerPeer, true);
    }
    world.run(confirmed + applyBound - world.now());
    EXPECT_EQ(versionAt(world, 7), ConfigVersion(5));
}

// Guards against a check of the store that tries one kept connection after the other when all of them, including those of the watches, have stopped responding
// at once.
TEST(SessionConfigurationIsLate, notBehindConnectionsThatWentSilent)
{
    SessionWorld world;
    world.run(startTime);
    for (unsigned vm = 0; vm < 4; ++vm) {
        world.silenceStoreConnections(vm);
    }
    world.run(std::chrono::milliseconds(500));
    world.newConfiguration([](SessionConfiguration &) {});
    world.run(applyBound);
    for (unsigned vm = 0; vm < 4; ++vm) {
        EXPECT_EQ(versionAt(world, vm), ConfigVersion(5)) << vm;
    }
}

// Guards against a VM without a configuration: the store does not answer it while it starts together with all others. It reads its first configuration from one
// of them.
TEST(SessionConfigurationIsLate, notAtAVmThatStartsWhileTheStoreIsSilentToIt)
{
    SessionWorld world;
    world.run(startTime);
    for (unsigned vm = 0; vm < 4; ++vm) {
        world.killVm(vm);
    }
    world.cutVmFromStore(2, true);
    for (unsigned vm = 0; vm < 4; ++vm) {
        world.startVm(vm);
    }
    world.run(applyBound);
    ASSERT_TRUE(world.vm(2).sessions_->configuration_.has_value());
    EXPECT_EQ(versionAt(world, 2), ConfigVersion(3));
}

// Guards against counting another VM's check of a newer configuration as a check of the one this VM has, after which this VM would never ask the store by
// itself.
TEST(SessionConfigurationIsLate, isNotTakenForCheckedWhereItLacks)
{
    SessionWorld world;
    world.run(startTime);
    world.cutVmFromStore(3, true);
    world.mirrorsAreCutFrom(3, true);
    world.newConfiguration([](SessionConfiguration &) {});
    const Time confirmed = world.now();
    world.run(applyBound);
    ASSERT_EQ(versionAt(world, 3), ConfigVersion(3));
    EXPECT_LT(*world.vm(3).sessions_->schedule_.configurationCheck_.askedAt_, confirmed);
}

// Guards against a heartbeat that was delayed at a paused VM and makes the check that it reports appear more recent than it was.
TEST(SessionConfigurationIsLate, notByAHeartbeatThatWaited)
{
    SessionWorld world;
    world.run(startTime);
    // Each VM that passes on a check's age adds the transit time of a heartbeat.
    const Time lastCheck = world.now() + std::chrono::milliseconds(300);
    world.storeDown(true);
    world.run(std::chrono::milliseconds(50));
    world.freezeVm(3, true);
    world.run(std::chrono::seconds(3));
    world.freezeVm(3, false);
    EXPECT_LE(*world.vm(3).sessions_->schedule_.configurationCheck_.askedAt_, lastCheck);
    EXPECT_LE(*world.vm(3).sessions_->schedule_.directoryCheck_.askedAt_, lastCheck);
    world.run(std::chrono::seconds(1));
    EXPECT_LE(*world.vm(0).sessions_->schedule_.configurationCheck_.askedAt_, lastCheck);
}

// Guards against refusing a session for an added database at a VM that knows of a newer configuration and is about to receive it.
TEST(SessionConfigurationIsLate, isWaitedForByASessionOfAnAddedDatabase)
{
    SessionWorld world;
    world.run(startTime);
    world.cutVmFromStore(3, true);
    world.mirrorsAreCutFrom(3, true);
    world.newConfiguration([](SessionConfiguration &configuration) { configuration.databases_["added"] = configuration.databases_["ledger"]; });
    world.run(std::chrono::milliseconds(300));
    const std::size_t client = world.open(3, "added");
    const std::size_t other = world.open(0, "missing");
    world.run(std::chrono::milliseconds(300));
    EXPECT_TRUE(world.client(other).refused_) << "nothing newer is to be expected there";
    EXPECT_FALSE(world.client(client).refused_);
    world.mirrorsAreCutFrom(3, false);
    world.run(std::chrono::milliseconds(600));
    EXPECT_TRUE(world.client(client).open_);
}

// Guards against keeping a session for a nonexistent database waiting for long while a newer configuration is known of but cannot be read.
TEST(SessionConfigurationIsLate, holdsNoSessionForLong)
{
    SessionWorld world;
    world.run(startTime);
    world.cutVmFromStore(3, true);
    world.mirrorsAreCutFrom(3, true);
    world.newConfiguration([](SessionConfiguration &) {});
    world.run(std::chrono::milliseconds(300));
    const std::size_t client = world.open(3, "missing");
    world.run(std::chrono::milliseconds(1400));
    EXPECT_TRUE(world.client(client).refused_);
}

// Guards against watch events that cannot be parsed in a large fleet, which checks by events only: no VM would ever read the complete object.
TEST(SessionConfigurationIsLate, notByEventsThatCannotBeRead)
{
    SessionWorldConfig config;
    config.vms_ = 24;
    SessionWorld world(config);
    world.run(startTime);
    world.garbleEvents(true);
    world.newConfiguration([](SessionConfiguration &) {});
    world.run(applyBound);
    for (unsigned vm = 0; vm < 24; ++vm) {
        EXPECT_EQ(versionAt(world, vm), ConfigVersion(5)) << vm;
    }
}

// Guards against further reads of a large configuration while the first is still arriving over a small link.
TEST(SessionConfigurationIsLate, isReadOnceWhereItTakesLong)
{
    SessionWorldConfig config;
    config.vms_ = 24;
    SessionWorld world(config);
    world.run(startTime);
    world.configurationTakes(std::chrono::milliseconds(1900));
    const std::uint64_t before = world.storeCalls().at("read configuration");
    world.newConfiguration([](SessionConfiguration &) {});
    world.run(std::chrono::seconds(5));
    EXPECT_LE(world.storeCalls().at("read configuration") - before, 24U);
    for (unsigned vm = 0; vm < 24; ++vm) {
        EXPECT_EQ(versionAt(world, vm), ConfigVersion(5)) << vm;
    }
}

// Guards against complete reads that repeat for as long as nothing changes: the revision of the object alone may be older than the store's history, and a watch
// from there is refused at once.
TEST(SessionConfigurationIsLate, isNotReadAgainAndAgainAfterTheHistoryIsGone)
{
    SessionWorld world;
    world.run(startTime);
    const auto callsInTenSeconds = [&] {
        const std::map<std::string, std::uint64_t> before = world.storeCalls();
        world.run(std::chrono::seconds(10));
        const auto made = [&](const std::string &kind) { return world.storeCalls().at(kind) - before.at(kind); };
        return made("read configuration") + made("watch configuration");
    };
    const std::uint64_t idleCalls = callsInTenSeconds();
    world.dropHistory();
    world.run(std::chrono::seconds(1));
    EXPECT_LE(callsInTenSeconds(), idleCalls + 4) << "one call more of each VM";
}

// Guards against a check that does not report a change already made and continues from a later revision: the only VM that the store answers would never find
// the change.
TEST(SessionConfigurationIsLate, notByAChangeThatACheckHeardNothingOf)
{
    SessionWorldConfig config;
    config.vms_ = 24;
    SessionWorld world(config);
    world.run(startTime);
    for (unsigned vm = 1; vm < 24; ++vm) {
        world.cutVmFromStore(vm, true);
    }
    world.watchesAreDeaf(true);
    world.run(std::chrono::seconds(3));
    world.watchesAreSilent(true);
    world.newConfiguration([](SessionConfiguration &) {});
    // Longer than the delay before a VM that is not a leader makes a check.
    world.run(std::chrono::milliseconds(3500));
    world.watchesAreSilent(false);
    world.run(std::chrono::seconds(4));
    for (unsigned vm = 0; vm < 24; ++vm) {
        EXPECT_EQ(versionAt(world, vm), ConfigVersion(5)) << vm;
    }
}
