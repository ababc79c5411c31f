/** \file
 * Defines the rate limit of log lines, by kind of event.
 *
 * A single cause that affects every request, such as an overloaded service, can produce thousands of lines a second of one kind, which would hide the few
 * lines about the cause. Each kind of event has its own token bucket, so a flood of one kind does not affect the others.
 */
#pragma once

#include "LogEvents.h"
#include "Units.h"

#include <cstdint>
#include <map>

namespace Figward {

/** Rate limit of each kind of event. */
struct LogLimits
{
    /** Lines a second. At about 250 bytes a line, a kind writes at most 12 KB a second. */
    double linesPerSecond_ = 50;
    /** Size of a burst, in lines, that is allowed after an idle period. */
    double burst_ = 200;
};

/** State of the rate limit: a token bucket for each kind of event, and the counts of dropped lines. */
struct LogBudget
{
    struct Bucket
    {
        double tokens_ = 0; ///< Lines that may be written at updatedAt_.
        Time updatedAt_; ///< Time of the last update of tokens_.
    };
    LogLimits limits_;
    std::map<LogNumber, Bucket> buckets_;
    std::map<LogNumber, std::uint64_t> dropped_; ///< Number of lines dropped since the last report by takeDroppedReport().
    Time reportedAt_;
};

/** Returns whether a line of this kind may be written now, and takes a token if so. */
bool tryTakeLine(LogBudget &budget, LogNumber number, Time now);
/** Counts a dropped line. */
void countDroppedLine(LogBudget &budget, LogNumber number);
/** Returns the fields of the event that reports dropped lines and resets the counts, at most once a second. Empty if no report is due. */
std::vector<LogField> takeDroppedReport(LogBudget &budget, Time now);

} // namespace Figward
