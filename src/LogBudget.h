/** \file
 * Defines how many log lines of each kind may be written.
 *
 * It answers the load pattern of one cause that touches every request, such as a full service: thousands of lines a second of one kind, in which the few
 * lines that tell of the cause would drown. Each kind of event has a budget of its own, so a flood of one kind costs the others nothing.
 */
#pragma once

#include "LogEvents.h"
#include "Units.h"

#include <cstdint>
#include <map>

namespace Figward {

/** Budget of each kind of event. */
struct LogLimits
{
    /** Lines a second; at some 250 bytes a line, a kind writes 12 KB a second at most. */
    double linesPerSecond_ = 50;
    /** Lines that may come at once, after a quiet time. */
    double burst_ = 200;
};

/** What is left of the budgets, and what was dropped. */
struct LogBudget
{
    struct Kind
    {
        double left_ = 0; ///< Lines.
        Time at_; ///< When left_ held.
    };
    LogLimits limits_;
    std::map<LogNumber, Kind> kinds_;
    std::map<LogNumber, std::uint64_t> dropped_; ///< Since the last takeDropped().
    Time reported_;
};

/** Whether a line of this kind may be written now; if so, it is taken from the budget. */
bool takeLine(LogBudget &budget, LogNumber number, Time now);
/** Counts a line that was not written. */
void noteDropped(LogBudget &budget, LogNumber number);
/** Fields of the event that tells what was dropped, once a second at most; none if there is nothing to tell. */
std::vector<LogField> takeDropped(LogBudget &budget, Time now);

} // namespace Figward
