#include "TimerService.h"

#include <tuple>

namespace Figward {

bool TimerService::ExpiresLater::operator()(const ArmedTimer &a, const ArmedTimer &b) const
{
    return std::tie(a.at_, a.order_) > std::tie(b.at_, b.order_);
}

void TimerService::arm(Time at, TimerTag tag)
{
    armed_.push({at, nextOrder_++, std::move(tag)});
}

std::vector<TimerTag> TimerService::popExpired(Time now)
{
    std::vector<TimerTag> due;
    while (!armed_.empty() && armed_.top().at_ <= now) {
        due.push_back(armed_.top().tag_);
        armed_.pop();
    }
    return due;
}

std::optional<Time> TimerService::next() const
{
    if (armed_.empty()) {
        return std::nullopt;
    }
    return armed_.top().at_;
}

std::size_t TimerService::size() const
{
    return armed_.size();
}

} // namespace Figward
