/** \file
 * Defines exponential backoff with jitter.
 */
#pragma once

#include "Units.h"

#include <random>

namespace Figward {

/** Parameters of an exponential backoff. */
struct Backoff
{
    Duration first_{}; ///< Delay after the first failure.
    unsigned maxDoublings_ = 0;
};

/** Returns the delay after a failure that follows \p failures others. Up to half is random, so that proxies that failed together do not retry together. */
Duration backoffDelay(const Backoff &backoff, unsigned failures, std::mt19937_64 &random);

} // namespace Figward
