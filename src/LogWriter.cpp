#include "LogWriter.h"

#include "LineBuffer.h"
#include "LogLine.h"

#include <atomic>
#include <log4cplus/appender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <unistd.h>

namespace Figward {

namespace {

/** UTC time with milliseconds, level, and the body that formatLogBody() returns. */
constexpr const char *linePattern = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n";

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

/** Returns a unique logger name. log4cplus identifies loggers by name, and each writer in a process needs its own. */
std::string loggerName(const std::string &process)
{
    static std::atomic<unsigned> count = 0;
    return process + "#" + std::to_string(++count);
}

/** Capacity for lines that are not written yet, in bytes: about a thousand lines, or the maximum output of one kind of event in twenty seconds. */
constexpr std::size_t bufferSize = std::size_t{256} * 1024;

Time readClock()
{
    return Time(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/** Returns the priority of an event: events about individual abnormal requests, warnings and errors are important. */
LinePriority priorityOf(LogNumber number)
{
    const int value = static_cast<int>(number);
    const bool isAboutRequest = value >= 501 && value < 600 && number != LogNumber::StatementDone;
    return isAboutRequest || logEventInfo(number).level_ >= LogLevel::Warning ? LinePriority::Important : LinePriority::Ordinary;
}

void useLinePattern(log4cplus::Appender &appender)
{
    appender.setLayout(std::make_unique<log4cplus::PatternLayout>(linePattern));
}

} // namespace

/** Passes lines to a buffer that never blocks. Used while the writer's mutex is held. */
class StreamAppender : public log4cplus::Appender
{
public:
    explicit StreamAppender(int fileDescriptor)
        : buffer_(fileDescriptor, bufferSize)
    {
        useLinePattern(*this);
    }

    StreamAppender(const StreamAppender &) = delete;
    StreamAppender &operator=(const StreamAppender &) = delete;

    ~StreamAppender() override
    {
        destructorImpl();
    }

    void close() override
    {
        closed = true;
    }

    LineBuffer buffer_;
    LinePriority priority_ = LinePriority::Ordinary; ///< Priority of the next line.
    bool accepted_ = true; ///< Whether the buffer accepted the last line.

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        accepted_ = buffer_.add(formatEvent(event), priority_);
    }
};

LogWriter::LogWriter(std::string process, LogLevel level)
    : process_(std::move(process))
{
    static const log4cplus::Initializer initializer;
    logger_ = log4cplus::Logger::getInstance(loggerName(process_));
    logger_.setAdditivity(false);
    setLevel(level);
}

LogWriter::LogWriter(std::string process, const std::string &file, LogLevel level, LogStream stream)
    : LogWriter(std::move(process), level)
{
    if (file.empty()) {
        useStream(stream == LogStream::StandardError ? STDERR_FILENO : STDOUT_FILENO);
    } else {
        const log4cplus::SharedAppenderPtr appender(new log4cplus::FileAppender(file, std::ios_base::app));
        useLinePattern(*appender);
        logger_.addAppender(appender);
    }
}

LogWriter::LogWriter(std::string process, int fileDescriptor, LogLevel level)
    : LogWriter(std::move(process), level)
{
    useStream(fileDescriptor);
}

LogWriter::~LogWriter()
{
    logger_.removeAllAppenders();
}

void LogWriter::useStream(int fileDescriptor)
{
    streamAppender_ = new StreamAppender(fileDescriptor);
    logger_.addAppender(log4cplus::SharedAppenderPtr(streamAppender_));
}

void LogWriter::write(LogNumber number, const std::vector<LogField> &fields)
{
    if (!logger_.isEnabledFor(toLog4cplus(logEventInfo(number).level_))) {
        return;
    }
    const std::scoped_lock lock(mutex_);
    const Time now = readClock();
    const auto drop = [&](LogNumber dropped) {
        countDroppedLine(budget_, dropped);
        ++droppedLines_;
    };
    if (!tryTakeLine(budget_, number, now)) {
        drop(number);
        return;
    }
    const std::map<LogNumber, std::uint64_t> unreported = budget_.dropped_;
    if (const std::vector<LogField> dropped = takeDroppedReport(budget_, now); !dropped.empty() && !emit(LogNumber::LinesDropped, dropped)) {
        budget_.dropped_ = unreported;
    }
    if (!emit(number, fields)) {
        drop(number);
    }
}

bool LogWriter::emit(LogNumber number, const std::vector<LogField> &fields)
{
    if (streamAppender_ != nullptr) {
        streamAppender_->priority_ = priorityOf(number);
    }
    logger_.forcedLog(toLog4cplus(logEventInfo(number).level_), formatLogBody(number, process_, fields));
    return streamAppender_ == nullptr || streamAppender_->accepted_;
}

std::uint64_t LogWriter::droppedLines() const
{
    return droppedLines_;
}

void LogWriter::setLevel(LogLevel level)
{
    logger_.setLogLevel(toLog4cplus(level));
}

void LogWriter::setLimits(const LogLimits &limits)
{
    const std::scoped_lock lock(mutex_);
    budget_.limits_ = limits;
}

void LogWriter::flush(std::chrono::milliseconds timeout)
{
    if (streamAppender_ != nullptr) {
        streamAppender_->buffer_.flush(timeout);
    }
}

} // namespace Figward
