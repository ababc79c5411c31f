/** \file
 * Defines how log events are written: by log4cplus, one line each, to a file or to standard error.
 */
#pragma once

#include "ShellPorts.h"

#include <log4cplus/logger.h>
#include <string>

namespace Figward {

/** Where a log goes that is written to no file. */
enum class LogStream {
    StandardError,
    StandardOutput,
};

/** Writes the log of one process, or of one of several proxies in a process. Thread-safe. */
class LogWriter : public LogPort
{
public:
    /** \p file is appended to; empty means \p stream. Events below \p level are not written. */
    LogWriter(std::string process, const std::string &file, LogLevel level, LogStream stream = LogStream::StandardError);
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;
    ~LogWriter() override;
    void write(LogNumber number, const std::vector<LogField> &fields) override;

private:
    std::string process_;
    log4cplus::Logger logger_;
};

} // namespace Figward
