/** \file
 * Defines the text format of a log event: one line, "TIME LEVEL NUMBER NAME PROCESS KEY=VALUE...", written by LogWriter and read by the timeline command.
 */
#pragma once

#include "LogEvents.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** Wall-clock time of a log line. The clocks of VMs may differ by some milliseconds. */
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** A parsed log line. */
struct LogLine
{
    LogTime time_;
    std::string level_;
    int number_ = 0;
    std::string name_;
    std::string process_;
    std::vector<LogField> fields_;
};

/** Returns the name of \p level in log lines, such as "WARN". */
std::string_view toString(LogLevel level);
/** Returns the part of a line after its level: number, name, process and fields. Values that would be ambiguous to parse are quoted. */
std::string formatLogBody(LogNumber number, std::string_view process, const std::vector<LogField> &fields);
/** Parses a whole line; returns nullopt if it is not a valid log line. */
std::optional<LogLine> parseLogLine(std::string_view line);

} // namespace Figward
