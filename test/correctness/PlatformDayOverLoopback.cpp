#include "PlatformDemo.h"

#include <gmock/gmock.h>

using namespace Figward::Platform;

// Three proxies over a stand-in of the platform, with real sockets: the store goes away for a second, a database is added, the primary crashes and a proxy is
// shut down while clients write and read back. What they were told agrees with the members' logs, and writes stall for a few seconds at most.
TEST(PlatformDayOverLoopback, keepsItsPromises)
{
    const absl::StatusOr<PlatformDemoResult> result = playPlatformDemo();
    ASSERT_TRUE(result.ok()) << result.status();
    EXPECT_TRUE(promisesKept(*result)) << describe(*result);
    EXPECT_GT(result->acknowledgedWrites_, 100U) << describe(*result);
    EXPECT_LT(result->longestStall_.count(), 4000) << describe(*result);
}
