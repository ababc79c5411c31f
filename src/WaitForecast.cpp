#include "WaitForecast.h"

#include <algorithm>

namespace Figward {

namespace {

/** Expected duration before the first outage was recorded: shorter than statement timeouts, so that no statement is refused on a guess. */
constexpr Duration defaultOutage = std::chrono::milliseconds(500);
/** Number of outages kept. Their duration follows the platform's promotion time, which hardly changes; the last few include both planned and sudden ones. */
constexpr std::size_t maxOutages = 4;
/** Minimum duration of a recorded outage: shorter ones are caused by delayed heartbeats, not by replacements. */
constexpr Duration minOutage = std::chrono::milliseconds(100);

/** Period over which throughput is measured. Throughput changes within a few seconds when members come and go. */
constexpr Duration throughputPeriod = std::chrono::seconds(1);
/** Minimum number of starts from which throughput can be estimated. */
constexpr std::ptrdiff_t minStarts = 3;
/** Minimum time for which statements must have been waiting. With shorter waits the rate of starts is only the rate of arrivals. */
constexpr Duration minQueueTime = std::chrono::milliseconds(300);
/** Maximum number of recorded starts; more would not improve the estimate. */
constexpr std::size_t maxStarts = 256;

} // namespace

void recordOutage(OutageHistory &history, Duration length)
{
    if (length < minOutage) {
        return;
    }
    history.lengths_.push_back(length);
    if (history.lengths_.size() > maxOutages) {
        history.lengths_.pop_front();
    }
}

Duration expectedOutage(const OutageHistory &history)
{
    return history.lengths_.empty() ? defaultOutage : std::ranges::max(history.lengths_);
}

WaitForecast remainingOutage(const OutageHistory &history, Duration elapsed)
{
    const Duration typical = expectedOutage(history);
    return elapsed < typical ? WaitForecast{typical - elapsed, true} : WaitForecast{elapsed, false};
}

void recordStart(QueueHistory &history, Time now)
{
    history.stalledSince_ = now;
    history.starts_.push_back(now);
    while (history.starts_.size() > maxStarts || history.starts_.front() + throughputPeriod < now) {
        history.starts_.pop_front();
    }
}

void recordWaiting(QueueHistory &history, bool isWaiting, Time now)
{
    if (!isWaiting) {
        history.waitingSince_.reset();
        history.stalledSince_.reset();
    } else if (!history.waitingSince_) {
        history.waitingSince_ = now;
        history.stalledSince_ = now;
    }
}

std::optional<WaitForecast> remainingQueueTime(const QueueHistory &history, unsigned ahead, Time now)
{
    if (!history.waitingSince_ || now - *history.waitingSince_ < minQueueTime) {
        return std::nullopt;
    }
    const Duration span = std::min(throughputPeriod, now - *history.waitingSince_);
    const auto first = std::ranges::lower_bound(history.starts_, now - span);
    const auto started = std::distance(first, history.starts_.end());
    if (started < minStarts) {
        return WaitForecast{now - *history.stalledSince_, false};
    }
    return WaitForecast{span * (ahead + 1) / started, true};
}

bool shouldWait(const WaitForecast &forecast, Time deadline, Duration timeout, Time now)
{
    return forecast.known_ ? now + forecast.remaining_ < deadline : forecast.remaining_ < timeout;
}

} // namespace Figward
