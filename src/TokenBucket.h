/** \file
 * Defines a token bucket: permits that come at a steady rate and are kept up to a capacity.
 */
#pragma once

#include "Units.h"

namespace Figward {

/** Permits at hand at one time. */
struct TokenBucket
{
    double tokens_ = 0;
    Time filledAt_;
};

/** How a bucket fills. */
struct BucketRate
{
    double perSecond_ = 0;
    double capacity_ = 0;
};

/** Brings the bucket to \p now; what exceeds the capacity, which may have become smaller, is lost. */
void refill(TokenBucket &bucket, const BucketRate &rate, Time now);
/** Takes up to \p wanted whole tokens; returns how many. */
unsigned takeTokens(TokenBucket &bucket, unsigned wanted);
/** How long it takes until the bucket, brought to the present, holds a whole token; zero if it does. */
Duration untilNextToken(const TokenBucket &bucket, const BucketRate &rate);

} // namespace Figward
