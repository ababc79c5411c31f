#include "Command.h"

#include "ConfigurationText.h"
#include "Settings.h"

#include <iostream>
#include <memory>

namespace Figward {

namespace {

struct CheckOptions
{
    std::string file_;
    bool settings_ = false;
};

void runCheck(const CheckOptions &options)
{
    const std::string text = readFileOrExit(options.file_);
    if (options.settings_) {
        exitIfProblems(options.file_, checkSettings(text).problems_);
        std::cout << options.file_ << ": settings are correct\n";
        return;
    }
    const CheckedConfiguration checked = checkConfiguration(text);
    exitIfProblems(options.file_, checked.problems_);
    std::cout << options.file_ << ": correct: " << checked.configuration_->services_.size() << " service(s), " << checked.configuration_->groups_.size()
              << " group(s)\n";
}

} // namespace

void addCheckCommand(CLI::App &app)
{
    auto options = std::make_shared<CheckOptions>();
    CLI::App *command = app.add_subcommand("check", "Check a configuration or settings file and name all its mistakes");
    command->add_option("FILE", options->file_, "File to check")->required();
    command->add_flag("--settings", options->settings_, "The file holds the settings of a process, not the configuration");
    command->callback([options] { runCheck(*options); });
}

} // namespace Figward
