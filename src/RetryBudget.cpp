#include "RetryBudget.h"

#include <algorithm>

namespace Figward {

namespace {

// Allows a burst of retries when an owner fails, but far fewer than would overload a group.
constexpr double maxTokens = 200.0;

} // namespace

void addRetryTokens(RetryBudget &budget, unsigned percent)
{
    budget.tokens_ = std::min(maxTokens, budget.tokens_ + percent / 100.0);
}

bool takeRetryToken(RetryBudget &budget)
{
    if (budget.tokens_ < 1.0) {
        return false;
    }
    budget.tokens_ -= 1.0;
    return true;
}

} // namespace Figward
