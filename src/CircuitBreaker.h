/** \file
 * Defines the circuit breaker that stops sending requests to a member after consecutive failures and retries it after a backoff with jitter.
 */
#pragma once

#include "Units.h"

#include <random>

namespace Figward {

/** Circuit breaker of one member. */
struct CircuitBreaker
{
    unsigned failures_ = 0; ///< Consecutive failures.
    Time openUntil_; ///< The circuit is open until this time, and closed after it.
};

/** Whether requests may be sent to the member at \p now. After the backoff, a single further failure opens the circuit again. */
bool allowsWork(const CircuitBreaker &circuit, Time now);
/** Records a failed connection or statement; opens the circuit after several consecutive failures. */
void recordFailure(CircuitBreaker &circuit, Time now, std::mt19937_64 &random);
/** Records a successful statement and closes the circuit. */
void recordSuccess(CircuitBreaker &circuit);

} // namespace Figward
