#include "RetryBudget.h"

#include <algorithm>

namespace Figward {

namespace {

// Enough for a burst of retries when an owner fails, and far below what would hurt a group.
constexpr double maxTokens = 200.0;

} // namespace

void earnRetry(RetryBudget &budget, unsigned percent)
{
    budget.tokens_ = std::min(maxTokens, budget.tokens_ + percent / 100.0);
}

bool spendRetry(RetryBudget &budget)
{
    if (budget.tokens_ < 1.0) {
        return false;
    }
    budget.tokens_ -= 1.0;
    return true;
}

} // namespace Figward
