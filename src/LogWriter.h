/** \file
 * Defines the writer of log events. It uses log4cplus and writes one line for each event to a file or a standard stream. The volume is limited, and a slow
 * reader of the stream never blocks the process.
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

/** Standard stream for a log without a log file. */
enum class LogStream {
    StandardError,
    StandardOutput,
};

/** Writes the log of one process, or of one proxy if a process runs several. Thread-safe. */
class LogWriter : public LogPort
{
public:
    /** Appends to \p file, or writes to \p stream if it is empty. Events below \p level are not written. */
    LogWriter(std::string process, const std::string &file, LogLevel level, LogStream stream = LogStream::StandardError);
    /** Writes to \p fileDescriptor, which must stay open for the lifetime of the writer. */
    LogWriter(std::string process, int fileDescriptor, LogLevel level);
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;
    ~LogWriter() override;
    void write(LogNumber number, const std::vector<LogField> &fields) override;
    [[nodiscard]] std::uint64_t droppedLines() const override;
    void setLevel(LogLevel level);
    void setLimits(const LogLimits &limits);
    /** Waits at most \p timeout until all lines have been written to the stream. */
    void flush(std::chrono::milliseconds timeout);

private:
    LogWriter(std::string process, LogLevel level);
    void useStream(int fileDescriptor);
    /** Writes a line; returns whether it was accepted. */
    bool emit(LogNumber number, const std::vector<LogField> &fields);

    std::string process_;
    log4cplus::Logger logger_;
    StreamAppender *streamAppender_ = nullptr; ///< Owned by the logger; null if the log goes to a file.
    std::atomic<std::uint64_t> droppedLines_ = 0;
    std::mutex mutex_; ///< Guards the members below and the order of lines.
    LogBudget budget_;
};

} // namespace Figward
