#include "PositionSamples.h"

#include <algorithm>

namespace Figward {

namespace {

/** Minimum time between samples, which bounds memory. A required position may be newer than necessary by up to this time. */
constexpr Duration minSpacing = std::chrono::milliseconds(50);
/** Maximum age of samples relative to the newest: the staleness bounds of routes are at most a few seconds. */
constexpr Duration maxSampleAge = std::chrono::seconds(10);

} // namespace

void addSample(PositionSamples &samples, const PositionSample &sample)
{
    std::deque<PositionSample> &all = samples.samples_;
    if (!all.empty() && sample.position_.term_ < all.back().position_.term_) {
        return;
    }
    if (!all.empty() && all.back().position_.term_ < sample.position_.term_) {
        // A position of the previous term may have been rolled back, in which case no member would ever reach it.
        all.clear();
    }
    const auto after = std::ranges::upper_bound(all, sample.sentAt_, {}, &PositionSample::sentAt_);
    if (after != all.begin() && sample.sentAt_ - std::prev(after)->sentAt_ < minSpacing) {
        return;
    }
    all.insert(after, sample);
    while (all.front().sentAt_ + maxSampleAge < all.back().sentAt_) {
        all.pop_front();
    }
}

std::optional<LogPoint> requiredPosition(const PositionSamples &samples, Duration maxStaleness, Time now)
{
    const auto first = std::ranges::lower_bound(samples.samples_, now - maxStaleness, {}, &PositionSample::sentAt_);
    if (first == samples.samples_.end()) {
        return std::nullopt;
    }
    // Heartbeats and answers can arrive out of order, so the lowest position among the recent samples is used.
    return std::ranges::min_element(first, samples.samples_.end(), {}, &PositionSample::position_)->position_;
}

std::optional<LogPoint> positionBefore(const PositionSamples &samples, Time time)
{
    const auto after = std::ranges::lower_bound(samples.samples_, time, {}, &PositionSample::sentAt_);
    return after == samples.samples_.begin() ? std::nullopt : std::optional(std::prev(after)->position_);
}

void recordProgress(PrimaryProgress &progress, std::uint64_t epoch, const LogPoint &position)
{
    if (progress.epoch_ != epoch) {
        progress = PrimaryProgress{epoch, std::nullopt};
    }
    progress.reached_ = std::max(progress.reached_.value_or(position), position);
}

std::optional<LogPoint> reachedInEpoch(const PrimaryProgress &progress, std::uint64_t epoch)
{
    return progress.epoch_ == epoch ? progress.reached_ : std::nullopt;
}

std::optional<PositionSample> newestSample(const PositionSamples &samples)
{
    return samples.samples_.empty() ? std::nullopt : std::optional(samples.samples_.back());
}

} // namespace Figward
