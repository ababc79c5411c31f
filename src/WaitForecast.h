/** \file
 * Defines a forecast of how long a statement that no member can run now will wait, from outages and queue throughput observed by this VM.
 *
 * While a primary is being replaced, or while all members are full, statements accumulate. Without a forecast each would be held until its timeout and refused
 * when its client has no time left to try another VM. A statement that is not expected to be served before its deadline is therefore refused at once, together
 * with the time after which it can be served; any other statement waits.
 */
#pragma once

#include "Units.h"

#include <deque>
#include <optional>

namespace Figward {

/** Durations of the last outages of primaries, each ended by a replacement. */
struct OutageHistory
{
    std::deque<Duration> lengths_; ///< Newest last.
};

/** Records that a primary was usable again after an outage of \p length. */
void recordOutage(OutageHistory &history, Duration length);
/** Expected duration of an outage: the longest of the last few, or a default while none has been recorded. */
Duration expectedOutage(const OutageHistory &history);

/** Forecast of the remaining wait of a statement. */
struct WaitForecast
{
    Duration remaining_{};
    bool known_ = true; ///< If false, the end is unknown: remaining_ is then how long the cause has lasted, and it may last as long again.
    bool operator==(const WaitForecast &) const = default;
};

/**
 * Forecast of the remaining duration of an outage that has lasted for \p elapsed. Up to the expected duration, it is the rest of that. A longer outage has
 * another cause, such as an unreachable store, and its end is unknown.
 */
WaitForecast remainingOutage(const OutageHistory &history, Duration elapsed);

/** State of a queue of statements that wait for connections, and its recent throughput. */
struct QueueHistory
{
    std::optional<Time> waitingSince_; ///< Time since which the queue has never been empty.
    std::optional<Time> stalledSince_; ///< While the queue is not empty: when the last statement was started, or when the first one was queued.
    std::deque<Time> starts_; ///< Start times of statements, newest last.
};

/** Records that a statement was started at a member. */
void recordStart(QueueHistory &history, Time now);
/** Records whether statements are waiting; must be called whenever that may have changed. */
void recordWaiting(QueueHistory &history, bool isWaiting, Time now);
/**
 * Forecast of the time until the queue reaches a statement behind \p ahead others, from its throughput in the last second; absent if statements have not been
 * waiting for long enough to measure it. For a stalled queue the end is unknown.
 */
std::optional<WaitForecast> remainingQueueTime(const QueueHistory &history, unsigned ahead, Time now);

/**
 * Whether a statement with the given deadline and total timeout should wait. A known remaining wait is compared with the time left until the
 * deadline. If the end is unknown, the time that the cause has lasted is compared with the total timeout: statements that arrive early wait in case it ends,
 * and statements that arrive after it has lasted longer than their timeout do not.
 */
bool shouldWait(const WaitForecast &forecast, Time deadline, Duration timeout, Time now);

} // namespace Figward
