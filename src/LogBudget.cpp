#include "LogBudget.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

namespace {

/** Pause between two reports of what was dropped. */
constexpr Duration reportInterval = std::chrono::seconds(1);

} // namespace

bool takeLine(LogBudget &budget, LogNumber number, Time now)
{
    const auto [entry, isNew] = budget.kinds_.try_emplace(number, LogBudget::Kind{budget.limits_.burst_, now});
    LogBudget::Kind &kind = entry->second;
    const double passed = std::chrono::duration<double>(now - kind.at_).count();
    kind.left_ = std::min(budget.limits_.burst_, kind.left_ + passed * budget.limits_.linesPerSecond_);
    kind.at_ = now;
    if (kind.left_ < 1) {
        return false;
    }
    kind.left_ -= 1;
    return true;
}

void noteDropped(LogBudget &budget, LogNumber number)
{
    ++budget.dropped_[number];
}

std::vector<LogField> takeDropped(LogBudget &budget, Time now)
{
    if (budget.dropped_.empty() || now - budget.reported_ < reportInterval) {
        return {};
    }
    budget.reported_ = now;
    std::uint64_t lines = 0;
    std::string kinds;
    for (const auto &[number, count] : std::exchange(budget.dropped_, {})) {
        lines += count;
        absl::StrAppend(&kinds, kinds.empty() ? "" : ",", static_cast<int>(number), ":", count);
    }
    return {{"lines", absl::StrCat(lines)}, {"kinds", kinds}};
}

} // namespace Figward
