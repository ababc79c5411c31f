/** \file
 * Defines the time line of events over all processes: their logs merged, as text and as Chrome trace JSON.
 */
#pragma once

#include "LogLine.h"

#include <absl/types/span.h>
#include <istream>
#include <ostream>

namespace Figward {

/** A line of a log that cannot be read, such as the last one of a process that was killed. */
struct UnreadableLine
{
    std::string file_;
    std::size_t line_ = 0; ///< From 1.
};

/** Events of several processes. */
struct TimeLine
{
    std::vector<LogLine> events_;
    std::vector<UnreadableLine> unreadable_;
};

/** Adds the log in \p in to \p timeLine. */
void addLog(TimeLine &timeLine, std::istream &in, const std::string &file);
/** Orders the events by time. Events of the same millisecond keep the order in which they were added, so that each process's own order stays. */
void orderByTime(TimeLine &timeLine);
/**
 * What concerns the request \p id, over all processes: the lines that carry the id, and what any process came to believe (of the members, the store, the
 * configuration) from \p around before the first of them to \p around after the last. Lines about other requests are left out.
 */
TimeLine followRequest(const TimeLine &timeLine, const std::string &id, std::chrono::milliseconds around);
/** Writes one line an event: time, milliseconds since the event before, process, number, name and fields. */
void writeText(const TimeLine &timeLine, std::ostream &out);
/** Writes the JSON that chrome://tracing and Perfetto read: a track for each process, an instant for each event. */
void writeChromeTrace(const TimeLine &timeLine, std::ostream &out);

} // namespace Figward
