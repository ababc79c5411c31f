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

/** UTC with milliseconds, level, and the body that formatLogBody() makes. */
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

/** Several writers in one process need loggers of their own: log4cplus finds loggers by name. */
std::string loggerName(const std::string &process)
{
    static std::atomic<unsigned> count = 0;
    return process + "#" + std::to_string(++count);
}

/** Room for lines that are not written yet, in bytes: some thousand lines, twenty seconds of a kind's budget. */
constexpr std::size_t bufferSize = std::size_t{256} * 1024;

Time readClock()
{
    return Time(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/** Lines about single requests that went out of the ordinary, and about trouble, go before the others. */
LineRank rankOf(LogNumber number)
{
    const int value = static_cast<int>(number);
    const bool aboutRequests = value >= 501 && value < 600 && number != LogNumber::StatementDone;
    return aboutRequests || logEventInfo(number).level_ >= LogLevel::Warning ? LineRank::Important : LineRank::Ordinary;
}

void useLinePattern(log4cplus::Appender &appender)
{
    appender.setLayout(std::make_unique<log4cplus::PatternLayout>(linePattern));
}

} // namespace

/** Hands lines to a buffer that never waits. Used under the writer's lock. */
class StreamAppender : public log4cplus::Appender
{
public:
    explicit StreamAppender(int handle)
        : buffer_(handle, bufferSize)
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
    LineRank rank_ = LineRank::Ordinary; ///< Of the next line.
    bool taken_ = true; ///< The last line.

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        taken_ = buffer_.add(formatEvent(event), rank_);
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

LogWriter::LogWriter(std::string process, int handle, LogLevel level)
    : LogWriter(std::move(process), level)
{
    useStream(handle);
}

LogWriter::~LogWriter()
{
    logger_.removeAllAppenders();
}

void LogWriter::useStream(int handle)
{
    streamAppender_ = new StreamAppender(handle);
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
        noteDropped(budget_, dropped);
        ++droppedLines_;
    };
    if (!takeLine(budget_, number, now)) {
        drop(number);
        return;
    }
    const std::map<LogNumber, std::uint64_t> untold = budget_.dropped_;
    if (const std::vector<LogField> dropped = takeDropped(budget_, now); !dropped.empty() && !emit(LogNumber::LinesDropped, dropped)) {
        budget_.dropped_ = untold;
    }
    if (!emit(number, fields)) {
        drop(number);
    }
}

bool LogWriter::emit(LogNumber number, const std::vector<LogField> &fields)
{
    if (streamAppender_ != nullptr) {
        streamAppender_->rank_ = rankOf(number);
    }
    logger_.forcedLog(toLog4cplus(logEventInfo(number).level_), formatLogBody(number, process_, fields));
    return streamAppender_ == nullptr || streamAppender_->taken_;
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

void LogWriter::flush(std::chrono::milliseconds limit)
{
    if (streamAppender_ != nullptr) {
        streamAppender_->buffer_.flush(limit);
    }
}

} // namespace Figward
