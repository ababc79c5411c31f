#include "PositionSamples.h"

#include <algorithm>

namespace Figward {

namespace {

/** Samples closer together than this are merged: floors get up to this much higher than they need be, and memory stays bounded. */
constexpr Duration minSpacing = std::chrono::milliseconds(50);
/** Samples older than this serve no read: the longest staleness that routes accept is a few seconds. */
constexpr Duration history = std::chrono::seconds(10);

} // namespace

void addSample(PositionSamples &samples, const PositionSample &sample)
{
    std::deque<PositionSample> &all = samples.samples_;
    if (!all.empty() && sample.position_.term_ < all.back().position_.term_) {
        return;
    }
    if (!all.empty() && all.back().position_.term_ < sample.position_.term_) {
        // A position of the former term may have been rolled back; no member would ever hold it.
        all.clear();
    }
    const auto after = std::ranges::upper_bound(all, sample.sentAt_, {}, &PositionSample::sentAt_);
    if (after != all.begin() && sample.sentAt_ - std::prev(after)->sentAt_ < minSpacing) {
        return;
    }
    all.insert(after, sample);
    while (all.front().sentAt_ + history < all.back().sentAt_) {
        all.pop_front();
    }
}

std::optional<LogPoint> floorFor(const PositionSamples &samples, Duration maxStaleness, Time now)
{
    const auto first = std::ranges::lower_bound(samples.samples_, now - maxStaleness, {}, &PositionSample::sentAt_);
    if (first == samples.samples_.end()) {
        return std::nullopt;
    }
    // Heartbeats and answers can come out of order: the lowest position of those that are young enough.
    return std::ranges::min_element(first, samples.samples_.end(), {}, &PositionSample::position_)->position_;
}

std::optional<PositionSample> newestSample(const PositionSamples &samples)
{
    return samples.samples_.empty() ? std::nullopt : std::optional(samples.samples_.back());
}

} // namespace Figward
