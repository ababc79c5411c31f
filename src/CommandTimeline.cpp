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
    std::string request_; ///< If empty, all events are printed.
    unsigned aroundMillis_ = 2000; ///< Long enough for the replacement of a primary and the events that led to it.
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
    TimeLine timeLine = readLogs(options.files_);
    if (!options.request_.empty()) {
        TimeLine filtered = filterByRequest(timeLine, options.request_, std::chrono::milliseconds(options.aroundMillis_));
        if (filtered.events_.empty()) {
            std::cerr << "no log line has the id " << options.request_ << '\n';
            exitWith(ExitCode::BadInput);
        }
        filtered.unreadable_ = std::move(timeLine.unreadable_);
        timeLine = std::move(filtered);
    }
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
        std::cerr << line.file_ << ':' << line.line_ << ": not a log line; skipped\n";
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
    command
        ->add_option("--request", options->request_, "Only what concerns the request with this id: its lines, and what the processes came to believe around it")
        ->type_name("ID");
    command->add_option("--around", options->aroundMillis_, "With --request: milliseconds before its first and after its last line")->capture_default_str();
    command->callback([options] { runTimeline(*options); });
}

} // namespace Figward
