/** \file
 * Defines the core's types for time and for counts that must not be mixed up. The core reads no clock; time reaches it as a field of events.
 */
#pragma once

#include "Ids.h"

#include <chrono>

namespace Figward {

/** The monotonic clock of one process. Times of different processes are never compared. */
struct ProcessClock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<ProcessClock>;
    static constexpr bool is_steady = true;
};

/** A duration in microseconds. */
using Duration = std::chrono::microseconds;
/** A time on one process's monotonic clock. */
using Time = std::chrono::time_point<ProcessClock>;

/** Number of connections to the members of a group. */
using ConnectionCount = StrongValue<struct ConnectionCountTag, std::uint32_t>;
/** Number of statements that a group runs concurrently. */
using SlotCount = StrongValue<struct SlotCountTag, std::uint32_t>;

/** \p d in whole milliseconds, for logs and reports. */
constexpr std::int64_t toMillis(Duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace Figward
