#include "ConfigurationAttempts.h"

#include <gtest/gtest.h>

using namespace Figward;

namespace {

constexpr Duration noTransfer{};
const Time start(std::chrono::seconds(100));

Time after(int millis)
{
    return start + std::chrono::milliseconds(millis);
}

ConfigurationAttempt attemptAt(const std::string &peer, std::optional<Time> began = std::nullopt)
{
    return {CallId(1), peer, start, began};
}

} // namespace

TEST(SilentSourcesAreLeftBehind, aVmSoonerThanTheStore)
{
    EXPECT_FALSE(isOverdue(attemptAt("vm"), noTransfer, after(200)));
    EXPECT_TRUE(isOverdue(attemptAt("vm"), noTransfer, after(300)));
    EXPECT_FALSE(isOverdue(attemptAt(""), noTransfer, after(500)));
    EXPECT_TRUE(isOverdue(attemptAt(""), noTransfer, after(700)));
}

// Guards against transferring several copies of one large configuration over a small link at once: they delay each other until none arrives in time.
TEST(SilentSourcesAreLeftBehind, butNotWhileTheyAnswerSlowly)
{
    const ConfigurationAttempt arriving = attemptAt("vm", after(100));
    EXPECT_FALSE(isOverdue(arriving, noTransfer, after(1000)));
    EXPECT_TRUE(isOverdue(arriving, noTransfer, after(1200)));
    const Duration lastTransfer = std::chrono::milliseconds(900);
    EXPECT_FALSE(isOverdue(arriving, lastTransfer, after(1800)));
    EXPECT_TRUE(isOverdue(arriving, lastTransfer, after(2000)));
}

TEST(SilentSourcesAreLeftBehind, andNoMoreThanTwoAnswersArriveAtOnce)
{
    const ConfigurationAttempts silent{attemptAt("a"), attemptAt("b"), attemptAt("c")};
    EXPECT_TRUE(mayStartAnother(silent, noTransfer, after(300)));
    const ConfigurationAttempts stalled{attemptAt("a", after(10)), attemptAt("b", after(20))};
    EXPECT_FALSE(mayStartAnother(stalled, noTransfer, after(5000)));
    EXPECT_TRUE(mayStartAnother({}, noTransfer, start));
}

TEST(SilentSourcesAreLeftBehind, andAskedOnceMoreAfterAWhile)
{
    const ConfigurationAttempts once{attemptAt("a")};
    EXPECT_TRUE(mayReadFrom(once, "b", after(1)));
    EXPECT_FALSE(mayReadFrom(once, "a", after(900)));
    EXPECT_TRUE(mayReadFrom(once, "a", after(1100)));
    EXPECT_FALSE(mayReadFrom({attemptAt("a"), attemptAt("a")}, "a", after(2900)));
    EXPECT_FALSE(mayReadFrom({attemptAt("a", after(50))}, "a", after(2900))) << "its answer arrives";
}
