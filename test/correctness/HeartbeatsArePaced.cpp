#include "HeartbeatPace.h"

#include <gmock/gmock.h>

#include <vector>

using namespace Figward;

namespace {

/** Heartbeats a second sent by all VMs, of which the first \p leaders lead groups. */
double heartbeatsPerSecond(unsigned vms, unsigned leaders)
{
    double rate = 0;
    for (unsigned a = 0; a < vms; ++a) {
        for (unsigned b = 0; b < vms; ++b) {
            if (a != b) {
                const Duration interval = heartbeatIntervalOf({VmId(9000 + 7 * a), VmId(9000 + 7 * b), vms, a < leaders || b < leaders});
                rate += 1e6 / static_cast<double>(interval.count());
            }
        }
    }
    return rate;
}

} // namespace

TEST(HeartbeatsArePaced, equallyFromBothEnds)
{
    for (std::uint64_t vm = 1; vm < 200; ++vm) {
        EXPECT_EQ(heartbeatIntervalOf({VmId(vm), VmId(500), 80, false}), heartbeatIntervalOf({VmId(500), VmId(vm), 80, false}));
    }
}

TEST(HeartbeatsArePaced, quicklyBetweenALeaderAndTheOthers)
{
    EXPECT_EQ(heartbeatIntervalOf({VmId(1), VmId(2), 500, true}), heartbeatInterval);
    EXPECT_EQ(heartbeatIntervalOf({VmId(1), VmId(2), 8, false}), heartbeatInterval) << "few VMs tell each other all";
}

// Heartbeats between all pairs would be 23,400 a second at 77 VMs. With eight leaders and a few random pairs at the short interval, and all other pairs at the
// long one, the rate stays below half of that, and at 300 VMs with as many leaders below an eighth of the 359,000 of all pairs.
TEST(HeartbeatsArePaced, soThatTheyDoNotGrowWithTheSquareOfTheVms)
{
    EXPECT_LT(heartbeatsPerSecond(77, 8), 23'400.0 / 2);
    EXPECT_LT(heartbeatsPerSecond(300, 8), 359'000.0 / 8);
}

TEST(HeartbeatsArePaced, withAFewCloseVmsForEach)
{
    unsigned withFewerThanTwo = 0;
    for (std::uint64_t self = 0; self < 77; ++self) {
        unsigned shortIntervalPeers = 0;
        for (std::uint64_t peer = 0; peer < 77; ++peer) {
            shortIntervalPeers += self != peer && heartbeatIntervalOf({VmId(100 + self), VmId(100 + peer), 77, false}) == heartbeatInterval ? 1 : 0;
        }
        withFewerThanTwo += shortIntervalPeers < 2 ? 1 : 0;
    }
    EXPECT_LE(withFewerThanTwo, 4U);
}
