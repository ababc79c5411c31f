#include "LogWriter.h"

#include "LogLine.h"

#include <atomic>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>

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

log4cplus::SharedAppenderPtr makeAppender(const std::string &file, LogStream stream)
{
    log4cplus::SharedAppenderPtr appender;
    if (file.empty()) {
        const bool toStandardError = stream == LogStream::StandardError;
        const bool flushEachLine = true;
        appender = log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    } else {
        appender = log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(file, std::ios_base::app));
    }
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(linePattern));
    return appender;
}

} // namespace

LogWriter::LogWriter(std::string process, const std::string &file, LogLevel level, LogStream stream)
    : process_(std::move(process))
{
    static const log4cplus::Initializer initializer;
    logger_ = log4cplus::Logger::getInstance(loggerName(process_));
    logger_.setAdditivity(false);
    logger_.setLogLevel(toLog4cplus(level));
    logger_.addAppender(makeAppender(file, stream));
}

LogWriter::~LogWriter()
{
    logger_.removeAllAppenders();
}

void LogWriter::write(LogNumber number, const std::vector<LogField> &fields)
{
    const log4cplus::LogLevel level = toLog4cplus(logEventInfo(number).level_);
    if (logger_.isEnabledFor(level)) {
        logger_.forcedLog(level, formatLogBody(number, process_, fields));
    }
}

} // namespace Figward
