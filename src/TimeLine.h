/** \file
 * Defines the merged timeline of the log events of several processes, and its output as text and as Chrome trace JSON.
 */
#pragma once

#include "LogLine.h"

#include <absl/types/span.h>
#include <istream>
#include <ostream>

namespace Figward {

/** A line of a log that cannot be parsed, such as an incomplete last line of a process that was killed. */
struct UnreadableLine
{
    std::string file_;
    std::size_t line_ = 0; ///< 1-based.
};

/** Log events of several processes. */
struct TimeLine
{
    std::vector<LogLine> events_;
    std::vector<UnreadableLine> unreadable_;
};

/** Adds the log that \p in contains to \p timeLine. \p file is the name used in reports of unreadable lines. */
void addLog(TimeLine &timeLine, std::istream &in, const std::string &file);
/** Sorts the events by time. Events of the same millisecond stay in the order in which they were added, which preserves the order within each process. */
void orderByTime(TimeLine &timeLine);
/**
 * Returns the events related to the request \p id over all processes: the lines with this id, and the lines without any id (state changes of members, the
 * store or the configuration) from \p margin before the first line of the request to \p margin after its last. Lines of other requests are omitted.
 */
TimeLine filterByRequest(const TimeLine &timeLine, const std::string &id, std::chrono::milliseconds margin);
/** Writes one line for each event: time, milliseconds since the previous event, process, number, name and fields. */
void writeText(const TimeLine &timeLine, std::ostream &out);
/** Writes JSON for chrome://tracing and Perfetto: a track for each process, and an instant event for each log event. */
void writeChromeTrace(const TimeLine &timeLine, std::ostream &out);

} // namespace Figward
