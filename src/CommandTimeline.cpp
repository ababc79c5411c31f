#include "Command.h"

#include "TimeLine.h"

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace Figward {

namespace {

struct TimelineOptions
{
    std::vector<std::string> files_;
    std::string chromeFile_;
};

TimeLine readLogs(const std::vector<std::string> &files)
{
    TimeLine timeLine;
    for (const std::string &file : files) {
        std::istringstream in(readFileOrExit(file));
        addLog(timeLine, in, file);
    }
    orderByTime(timeLine);
    return timeLine;
}

void runTimeline(const TimelineOptions &options)
{
    const TimeLine timeLine = readLogs(options.files_);
    if (options.chromeFile_.empty()) {
        writeText(timeLine, std::cout);
    } else {
        std::ofstream out(options.chromeFile_);
        writeChromeTrace(timeLine, out);
        out.close();
        if (!out) {
            std::cerr << options.chromeFile_ << ": cannot be written\n";
            exitWith(ExitCode::Failure);
        }
    }
    for (const UnreadableLine &line : timeLine.unreadable_) {
        std::cerr << line.file_ << ':' << line.line_ << ": is no log line and was left out\n";
    }
    if (!timeLine.unreadable_.empty()) {
        exitWith(ExitCode::BadInput);
    }
}

} // namespace

void addTimelineCommand(CLI::App &app)
{
    auto options = std::make_shared<TimelineOptions>();
    CLI::App *command = app.add_subcommand("timeline", "Merge the logs of several processes into one time line");
    command->add_option("FILE", options->files_, "Log files")->required();
    command->add_option("--chrome", options->chromeFile_, "Write Chrome trace JSON to this file instead of text to standard output");
    command->callback([options] { runTimeline(*options); });
}

} // namespace Figward
