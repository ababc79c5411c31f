#include "TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace Figward {

namespace {

/** Upper bound of the wait reported for a bucket that hardly fills; clients are never told to wait longer. */
constexpr Duration maxReportedWait = std::chrono::seconds(10);

} // namespace

void refill(TokenBucket &bucket, const BucketRate &rate, Time now)
{
    const double seconds = std::chrono::duration<double>(std::max(Duration(0), now - bucket.filledAt_)).count();
    bucket.tokens_ = std::min(rate.capacity_, bucket.tokens_ + rate.perSecond_ * seconds);
    bucket.filledAt_ = std::max(bucket.filledAt_, now);
}

unsigned takeTokens(TokenBucket &bucket, unsigned wanted)
{
    const auto taken = std::min(wanted, static_cast<unsigned>(std::max(0.0, std::floor(bucket.tokens_))));
    bucket.tokens_ -= taken;
    return taken;
}

Duration untilTokens(double count, const BucketRate &rate)
{
    const double maxSeconds = std::chrono::duration<double>(maxReportedWait).count();
    const double seconds = rate.perSecond_ > 0 ? std::min(maxSeconds, count / rate.perSecond_) : maxSeconds;
    return count > 0 ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) : Duration(0);
}

} // namespace Figward
