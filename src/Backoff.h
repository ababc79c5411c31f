/** \file
 * Defines exponential backoff with jitter.
 */
#pragma once

#include "Units.h"

#include <random>

namespace Figward {

/** Shape of a backoff. */
struct Backoff
{
    Duration first_{}; ///< Delay after the first failure.
    unsigned maxDoublings_ = 0;
};

/** Delay after \p failures earlier failures: half of it random, so that proxies that failed together do not return together. */
Duration backoffDelay(const Backoff &backoff, unsigned failures, std::mt19937_64 &random);

} // namespace Figward
