// A VM is replaced while the platform is down. The new VM would refuse its callers as long as it knows neither the configuration nor the other VMs. It
// therefore contacts the seed addresses in its settings: a peer answers with its list of VMs, and the version in that message makes the new VM fetch the
// configuration. The other VMs learn of the new one from that peer, since the platform's list does not contain it.

#include "support/Fleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {
namespace {

using std::chrono::seconds;

TEST(VmStartsWhilePlatformIsDown, LearnsFromAPeerAndIsLearntOf)
{
    Fleet fleet({.vms_ = 8, .seed_ = 21});
    fleet.apply(configurationText(3, 1));
    fleet.run(seconds(10));
    fleet.platform().setFaults({.down_ = true});
    fleet.kill(7, true);
    fleet.run(seconds(5));
    const std::size_t fresh = fleet.replace(7);
    fleet.run(seconds(2));
    const ProxyState &state = fleet.vms()[fresh].state_;
    EXPECT_EQ(state.configuration_.version_, ConfigVersion(1));
    for (const FleetVm &vm : fleet.vms()) {
        if (vm.running_) {
            EXPECT_NE(findVm(vm.state_, state.identity_.self_.id_), nullptr);
        }
    }
}

TEST(VmStartsWhilePlatformIsDown, AnEmptyListIsNotBelieved)
{
    Fleet fleet({.vms_ = 8, .seed_ = 22});
    fleet.apply(configurationText(3, 1));
    fleet.run(seconds(10));
    fleet.platform().setVms({}, fleet.now());
    fleet.run(seconds(20));
    for (const FleetVm &vm : fleet.vms()) {
        EXPECT_EQ(vm.state_.membership_.vms_.size(), 8U);
    }
}

TEST(VmStartsWhilePlatformIsDown, AVmThatIsGoneIsNotBroughtBackByLateNews)
{
    Fleet fleet({.vms_ = 4, .seed_ = 23});
    fleet.run(seconds(10));
    const VmInfo gone = fleet.vms()[3].state_.identity_.self_;
    fleet.kill(3, false);
    fleet.run(seconds(10));
    ASSERT_EQ(findVm(fleet.vms()[0].state_, gone.id_), nullptr);
    const VmId self = fleet.vms()[0].state_.identity_.self_.id_;
    fleet.give(0, PeerReceived{{gone.id_, self, gone.address_, ConfigVersion(), Heartbeat{.sender_ = gone}}});
    EXPECT_EQ(findVm(fleet.vms()[0].state_, gone.id_), nullptr);
}

} // namespace
} // namespace Figward::Testing
