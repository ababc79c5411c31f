#include "LogBudget.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

namespace {

/** Minimum interval between two reports of dropped lines. */
constexpr Duration reportInterval = std::chrono::seconds(1);

} // namespace

bool tryTakeLine(LogBudget &budget, LogNumber number, Time now)
{
    const auto [entry, isNew] = budget.buckets_.try_emplace(number, LogBudget::Bucket{budget.limits_.burst_, now});
    LogBudget::Bucket &bucket = entry->second;
    const double elapsedSeconds = std::chrono::duration<double>(now - bucket.updatedAt_).count();
    bucket.tokens_ = std::min(budget.limits_.burst_, bucket.tokens_ + elapsedSeconds * budget.limits_.linesPerSecond_);
    bucket.updatedAt_ = now;
    if (bucket.tokens_ < 1) {
        return false;
    }
    bucket.tokens_ -= 1;
    return true;
}

void countDroppedLine(LogBudget &budget, LogNumber number)
{
    ++budget.dropped_[number];
}

std::vector<LogField> takeDroppedReport(LogBudget &budget, Time now)
{
    if (budget.dropped_.empty() || now - budget.reportedAt_ < reportInterval) {
        return {};
    }
    budget.reportedAt_ = now;
    std::uint64_t lines = 0;
    std::string kinds;
    for (const auto &[number, count] : std::exchange(budget.dropped_, {})) {
        lines += count;
        absl::StrAppend(&kinds, kinds.empty() ? "" : ",", static_cast<int>(number), ":", count);
    }
    return {{"lines", absl::StrCat(lines)}, {"kinds", kinds}};
}

} // namespace Figward
