#include "PlatformDemo.h"

#include <gmock/gmock.h>

using namespace Figward::Platform;

// Runs three proxies with real sockets against a stand-in for the platform. While clients write and read back, the store is unavailable for a second, a
// database is added, the primary crashes and a proxy is shut down. The answers must agree with the members' logs, and writes may stall for a few seconds only.
TEST(PlatformDayOverLoopback, keepsItsPromises)
{
    const absl::StatusOr<PlatformDemoResult> result = runPlatformDemo();
    ASSERT_TRUE(result.ok()) << result.status();
    EXPECT_TRUE(promisesKept(*result)) << describe(*result);
    EXPECT_GT(result->acknowledgedWrites_, 100U) << describe(*result);
    EXPECT_LT(result->longestStall_.count(), 4000) << describe(*result);
}
