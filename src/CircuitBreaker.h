/** \file
 * Defines the circuit breaker that stops work to a member after repeated failures and tries it again with backoff and jitter.
 */
#pragma once

#include "Units.h"

#include <random>

namespace Figward {

/** Circuit of one member. */
struct CircuitBreaker
{
    unsigned failures_ = 0; ///< In a row.
    Time opensUntil_; ///< Closed when in the past.
};

/** Whether work may go to the member at \p now. Once the backoff has passed, one attempt decides. */
bool allowsWork(const CircuitBreaker &circuit, Time now);
/** A connection or statement failed: opens the circuit after several in a row. */
void noteFailure(CircuitBreaker &circuit, Time now, std::mt19937_64 &random);
/** The member did its work: closes the circuit. */
void noteSuccess(CircuitBreaker &circuit);

} // namespace Figward
