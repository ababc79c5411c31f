/** \file
 * Defines the budget that keeps retries to a share of fresh work, so that a struggling group is not drowned in repeats.
 */
#pragma once

namespace Figward {

/** Tokens for retries; fresh work earns them. */
struct RetryBudget
{
    double tokens_ = 10.0; ///< One token pays for one retry. Starts full enough for a quiet proxy to retry at all.
};

/** Fresh work has come in: earns \p percent hundredths of a retry. */
void earnRetry(RetryBudget &budget, unsigned percent);
/** Takes one retry from the budget, or returns false if it is spent. */
bool spendRetry(RetryBudget &budget);

} // namespace Figward
