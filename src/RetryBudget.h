/** \file
 * Defines the budget that limits retries to a share of new requests, so that retries do not overload a group that already has problems.
 */
#pragma once

namespace Figward {

/** Token bucket for retries, refilled by new requests. */
struct RetryBudget
{
    double tokens_ = 10.0; ///< One token allows one retry. The initial value lets a proxy with little traffic retry.
};

/** Adds \p percent hundredths of a token for a new request. */
void addRetryTokens(RetryBudget &budget, unsigned percent);
/** Takes one token; returns false if none is left. */
bool takeRetryToken(RetryBudget &budget);

} // namespace Figward
