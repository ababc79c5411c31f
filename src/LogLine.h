/** \file
 * Defines the text of a log event: one line, "TIME LEVEL NUMBER NAME PROCESS KEY=VALUE...", written by LogWriter and read by the time line.
 */
#pragma once

#include "LogEvents.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** Wall-clock time of a log line; VMs' clocks may differ by some milliseconds. */
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** One log line, read back. */
struct LogLine
{
    LogTime time_;
    std::string level_;
    int number_ = 0;
    std::string name_;
    std::string process_;
    std::vector<LogField> fields_;
};

/** Name of \p level as it stands in log lines, such as "WARN". */
std::string_view toString(LogLevel level);
/** The part of a line after its level: number, name, process and fields. Values that a reader could mistake are quoted. */
std::string formatLogBody(LogNumber number, std::string_view process, const std::vector<LogField> &fields);
/** Reads a whole line; nothing if it is no log line. */
std::optional<LogLine> parseLogLine(std::string_view line);

} // namespace Figward
