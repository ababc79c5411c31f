#include "support/Fleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Returns the active configuration version of each running VM. */
std::vector<std::uint64_t> versionsOf(Fleet &fleet)
{
    std::vector<std::uint64_t> versions;
    for (const FleetVm &vm : fleet.vms()) {
        if (vm.running_) {
            versions.push_back(vm.state_.configuration_.version_.value());
        }
    }
    return versions;
}

TEST(ConfigurationReachesEveryVm, FromThePlatform)
{
    Fleet fleet({.vms_ = 8, .seed_ = 11});
    fleet.run(seconds(5));
    fleet.apply(configurationText(3, 1));
    fleet.run(seconds(2));
    EXPECT_THAT(versionsOf(fleet), testing::Each(1));
    fleet.apply(configurationText(3, 2));
    fleet.run(seconds(1));
    EXPECT_THAT(versionsOf(fleet), testing::Each(2));
}

TEST(ConfigurationReachesEveryVm, InAZoneThatCannotSeeThePlatform)
{
    Fleet fleet({.vms_ = 8, .seed_ = 12});
    fleet.apply(configurationText(3, 1));
    fleet.run(seconds(5));
    fleet.setPlatformCut(2, true);
    fleet.run(seconds(20));
    fleet.apply(configurationText(3, 2));
    fleet.run(seconds(1));
    EXPECT_THAT(versionsOf(fleet), testing::Each(2));
}

TEST(ConfigurationReachesEveryVm, AsSoonAsACutHeals)
{
    Fleet fleet({.vms_ = 9, .seed_ = 13});
    fleet.apply(configurationText(3, 1));
    fleet.run(seconds(5));
    fleet.setPlatformCut(2, true);
    fleet.setCut(0, 2, true);
    fleet.setCut(1, 2, true);
    fleet.run(seconds(5));
    fleet.apply(configurationText(3, 2));
    fleet.run(seconds(10));
    EXPECT_THAT(versionsOf(fleet), testing::UnorderedElementsAre(2, 2, 2, 2, 2, 2, 1, 1, 1));
    fleet.setCut(0, 2, false);
    fleet.setCut(1, 2, false);
    fleet.run(seconds(4));
    EXPECT_THAT(versionsOf(fleet), testing::Each(2));
}

TEST(ConfigurationReachesEveryVm, FetchesOnlyThePartsThatChanged)
{
    Fleet fleet({.vms_ = 8, .seed_ = 14});
    fleet.apply(configurationText(100, 1));
    fleet.run(seconds(10));
    EXPECT_THAT(versionsOf(fleet), testing::Each(1));
    fleet.setMeasuring(true);
    fleet.apply(configurationText(100, 2));
    fleet.run(milliseconds(900));
    EXPECT_THAT(versionsOf(fleet), testing::Each(2));
    for (const FleetVm &vm : fleet.vms()) {
        EXPECT_LT(vm.traffic_.receivedBytes_, 5'000U) << "the whole text has " << configurationText(100, 2).size() << " bytes";
    }
}

} // namespace
} // namespace Figward::Testing
