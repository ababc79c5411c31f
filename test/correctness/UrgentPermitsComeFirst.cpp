#include "PermitPriority.h"

#include <gtest/gtest.h>
#include <random>

using namespace Figward;

namespace {

constexpr Time start{std::chrono::seconds(100)};
constexpr unsigned urgent = 0;
constexpr unsigned ordinary = 2;

/** Operations of one priority that were requested and admitted. */
struct Count
{
    unsigned asked_ = 0;
    unsigned admitted_ = 0;

    [[nodiscard]] double share() const
    {
        return asked_ == 0 ? 1 : static_cast<double>(admitted_) / asked_;
    }
};

struct Result
{
    Count urgent_;
    Count ordinary_;
};

/** Requests single operations at random times for 20 s at the given rates. */
Result play(const BucketRate &rate, double urgentPerSecond, double ordinaryPerSecond)
{
    std::mt19937_64 random(7);
    TokenBucket bucket{rate.capacity_, start};
    PermitRates rates;
    Result result;
    const double all = urgentPerSecond + ordinaryPerSecond;
    Time now = start;
    while (now < start + std::chrono::seconds(20)) {
        now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<double>(all)(random)));
        const bool isUrgent = std::uniform_real_distribution<double>(0, all)(random) < urgentPerSecond;
        const std::vector<PermitDemand> demands{{isUrgent ? urgent : ordinary, 1}};
        refill(bucket, rate, now);
        recordDemand(rates, demands, now);
        Count &count = isUrgent ? result.urgent_ : result.ordinary_;
        ++count.asked_;
        count.admitted_ += takePermits(bucket, demands, rates, rate.capacity_, now).granted_;
    }
    return result;
}

} // namespace

// Guards against an organisation over its quota whose urgent operations are refused as often as the others, and come back late.
TEST(UrgentPermitsComeFirst, anOrganisationAtFourTimesItsRateKeepsItsUrgentOperations)
{
    const BucketRate rate{40, 10};
    const Result result = play(rate, 20, 140);
    EXPECT_GE(result.urgent_.share(), 0.97);
    const unsigned admitted = result.urgent_.admitted_ + result.ordinary_.admitted_;
    EXPECT_GE(admitted, 0.97 * rate.perSecond_ * 20) << "tokens are reserved that no operation needs";
    EXPECT_LE(admitted, rate.perSecond_ * 20 + rate.capacity_);
}

// Guards against a reserve that costs an organisation within its rate any operation, however small its bucket.
TEST(UrgentPermitsComeFirst, anOrganisationWithinItsRateLosesNothing)
{
    EXPECT_GE(play({40, 10}, 5, 15).ordinary_.share(), 0.99);
    const Result small = play({1, 3}, 0.1, 0.3);
    EXPECT_GE(small.ordinary_.share(), 0.95);
}

// Guards against a reserve that withholds all tokens from ordinary operations while urgent ones leave some over.
TEST(UrgentPermitsComeFirst, ordinaryOperationsGetWhatIsLeft)
{
    const Result result = play({40, 10}, 30, 100);
    EXPECT_GE(result.urgent_.share(), 0.95);
    EXPECT_GE(result.ordinary_.admitted_, 0.8 * 10 * 20);
}

// Guards against ordinary operations in the same request that take the permits of urgent ones.
TEST(UrgentPermitsComeFirst, oneRequestIsGrantedInOrder)
{
    TokenBucket bucket{3, start};
    PermitRates rates;
    const std::vector<PermitDemand> demands{{urgent, 2}, {ordinary, 5}};
    const PermitShare share = takePermits(bucket, demands, rates, 10, start);
    EXPECT_EQ(share.granted_, 3U);
    EXPECT_DOUBLE_EQ(share.missing_, 1);
}
