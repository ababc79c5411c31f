/** \file
 * Defines the units of the core: time as a field of events (there is no clock in the core) and counts that must not be mixed.
 */
#pragma once

#include "Ids.h"

#include <chrono>

namespace Figward {

/** Marks instants of one process's monotonic time; instants of different processes are never compared. */
struct ProcessClock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<ProcessClock>;
    static constexpr bool is_steady = true;
};

/** A length of time, in microseconds. */
using Duration = std::chrono::microseconds;
/** An instant of one process's monotonic time. */
using Time = std::chrono::time_point<ProcessClock>;

/** Number of connections to the members of a group. */
using ConnectionCount = StrongValue<struct ConnectionCountTag, std::uint32_t>;
/** Number of statements that a group runs at once. */
using SlotCount = StrongValue<struct SlotCountTag, std::uint32_t>;

/** \p d in whole milliseconds, for logs and reports. */
constexpr std::int64_t toMillis(Duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace Figward
