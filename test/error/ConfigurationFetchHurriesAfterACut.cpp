// A VM learns of a version and is cut off before it has fetched all parts; its fetch then retries at growing intervals of up to several seconds. After
// connectivity returns, callers in that zone would be served by the previous version for that long. A message from a peer that has the version shows that the
// peer is reachable, so the VM must fetch from it at once.

#include "support/Fleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ConfigurationFetchHurriesAfterACut, AsksThePeerThatIsHeard)
{
    Fleet fleet({.vms_ = 3, .seed_ = 41});
    fleet.apply(configurationText(3, 1));
    fleet.run(seconds(5));
    fleet.setPlatformCut(2, true);
    fleet.setCut(0, 2, true);
    fleet.setCut(1, 2, true);
    fleet.apply(configurationText(3, 2));
    const ProxyState &self = fleet.vms()[2].state_;
    const VmInfo peer = fleet.vms()[0].state_.identity_.self_;
    const PeerMessage received{peer.id_, self.identity_.self_.id_, peer.address_, ConfigVersion(2), Heartbeat{.sender_ = peer}};
    fleet.give(2, PeerReceived{received});
    fleet.run(seconds(20));
    ASSERT_EQ(self.configuration_.version_, ConfigVersion(1));
    ASSERT_TRUE(self.sync_.fetch_);
    fleet.setCut(0, 2, false);
    fleet.give(2, PeerReceived{received});
    fleet.run(milliseconds(20));
    EXPECT_EQ(self.configuration_.version_, ConfigVersion(2));
}

} // namespace
} // namespace Figward::Testing
