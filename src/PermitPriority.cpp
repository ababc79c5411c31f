#include "PermitPriority.h"

#include <algorithm>
#include <cmath>

namespace Figward {

namespace {

/** Time for whose urgent operations tokens are reserved: within it, a client that was refused returns. */
constexpr double reserveSeconds = 0.25;
/** The reserve exceeds the mean demand by this many standard deviations, since operations arrive at random times. */
constexpr double deviations = 2;
/** Maximum reserve as a fraction of the capacity, so that other operations are admitted whenever urgent ones leave tokens over. */
constexpr double maxReserve = 0.75;

} // namespace

void recordDemand(PermitRates &rates, absl::Span<const PermitDemand> demands, Time now)
{
    for (const PermitDemand &demand : demands) {
        recordUses(rates[demand.priority_], demand.wanted_, now);
    }
}

double reservedTokens(const PermitRates &rates, unsigned priority, double capacity, Time now)
{
    double perSecond = 0;
    for (const auto &[other, rate] : rates) {
        perSecond += other < priority ? usesPerSecond(rate, now) : 0;
    }
    const double expected = perSecond * reserveSeconds;
    return std::min(expected + deviations * std::sqrt(expected), maxReserve * capacity);
}

PermitShare takePermits(TokenBucket &bucket, absl::Span<const PermitDemand> demands, const PermitRates &rates, double capacity, Time now)
{
    PermitShare share;
    for (const PermitDemand &demand : demands) {
        const double reserved = reservedTokens(rates, demand.priority_, capacity, now);
        TokenBucket available{bucket.tokens_ - reserved, bucket.filledAt_};
        const unsigned taken = takeTokens(available, demand.wanted_);
        bucket.tokens_ -= taken;
        share.granted_ += taken;
        if (taken < demand.wanted_) {
            share.missing_ = 1 + reserved - bucket.tokens_;
            break; // What is left is reserved for operations that are more urgent than the rest, too.
        }
    }
    return share;
}

} // namespace Figward
