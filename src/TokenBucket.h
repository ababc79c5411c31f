/** \file
 * Defines a token bucket: tokens accrue at a constant rate up to a capacity.
 */
#pragma once

#include "Units.h"

namespace Figward {

/** Tokens available at a point in time. */
struct TokenBucket
{
    double tokens_ = 0;
    Time filledAt_;
};

/** Fill rate and capacity of a bucket. */
struct BucketRate
{
    double perSecond_ = 0;
    double capacity_ = 0;
};

/** Adds the tokens accrued until \p now. Tokens above the capacity, which may have been reduced, are discarded. */
void refill(TokenBucket &bucket, const BucketRate &rate, Time now);
/** Takes up to \p wanted whole tokens; returns the number taken. */
unsigned takeTokens(TokenBucket &bucket, unsigned wanted);
/** Time until \p count tokens have accrued; zero if none are needed. */
Duration untilTokens(double count, const BucketRate &rate);

} // namespace Figward
