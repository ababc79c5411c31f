/** \file
 * Defines how log events are written: by log4cplus, one line each, to a file or to a standard stream; bounded in volume, and never waiting for a reader.
 */
#pragma once

#include "LogBudget.h"
#include "ShellPorts.h"

#include <atomic>
#include <chrono>
#include <log4cplus/logger.h>
#include <memory>
#include <mutex>
#include <string>

namespace Figward {

class StreamAppender;

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
    /** Writes to \p handle, which stays open for as long as the writer is used. */
    LogWriter(std::string process, int handle, LogLevel level);
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;
    ~LogWriter() override;
    void write(LogNumber number, const std::vector<LogField> &fields) override;
    [[nodiscard]] std::uint64_t droppedLines() const override;
    void setLevel(LogLevel level);
    void setLimits(const LogLimits &limits);
    /** Waits until what was written has been handed to the system, \p limit at most. */
    void flush(std::chrono::milliseconds limit);

private:
    LogWriter(std::string process, LogLevel level);
    void useStream(int handle);
    /** Whether the line was taken. */
    bool emit(LogNumber number, const std::vector<LogField> &fields);

    std::string process_;
    log4cplus::Logger logger_;
    StreamAppender *streamAppender_ = nullptr; ///< Owned by the logger; none for a file.
    std::atomic<std::uint64_t> droppedLines_ = 0;
    std::mutex mutex_; ///< Guards what follows, and the order of lines.
    LogBudget budget_;
};

} // namespace Figward
