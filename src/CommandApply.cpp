#include "ApplyRun.h"
#include "Command.h"
#include "ConfigurationText.h"
#include "FieldTable.h"

#include <iostream>
#include <memory>

namespace Figward {

namespace {

struct ApplyOptions
{
    std::string file_;
    std::string platform_;
    std::optional<std::uint64_t> expectedVersion_;
};

ExitCode printResult(const ApplyResult &result)
{
    const std::uint64_t version = result.version_.value();
    switch (result.outcome_) {
    case ApplyOutcome::Accepted:
        std::cout << "accepted as version " << version << '\n';
        return ExitCode::Ok;
    case ApplyOutcome::Unchanged:
        std::cout << "unchanged: version " << version << " already has this content\n";
        return ExitCode::Ok;
    case ApplyOutcome::Conflict:
        std::cerr << "conflict: version " << version << " has been accepted in the meantime; nothing was changed. Review it, then apply again.\n";
        return ExitCode::Conflict;
    case ApplyOutcome::Unavailable:
        std::cerr << "the platform is unreachable; nothing was changed\n";
        return ExitCode::PlatformUnreachable;
    case ApplyOutcome::Unknown:
        std::cerr << "an answer of the platform was lost; it is unknown whether the configuration was accepted. It is safe to apply it again.\n";
        return ExitCode::Unknown;
    case ApplyOutcome::UnsafeChange:
        for (const GroupId &group : result.groups_) {
            std::cerr << group.value() << ": more than one member would change at once, which could lose writes\n";
        }
        std::cerr << "refused; nothing was changed. Change one member of a group at a time, and wait until the status shows that it has caught up.\n";
        return ExitCode::BadInput;
    case ApplyOutcome::Damaged:
        std::cerr << "the manifest stored on the platform is unreadable; nothing was changed\n";
        return ExitCode::Failure;
    }
    return ExitCode::Failure;
}

void runApplyCommand(const ApplyOptions &options)
{
    const std::string text = readFileOrExit(options.file_);
    exitIfProblems(options.file_, checkConfiguration(text).problems_);
    if (!isAddress(options.platform_)) {
        std::cerr << "--platform: " << options.platform_ << " is not an IP address and port\n";
        exitWith(ExitCode::BadInput);
    }
    std::optional<ConfigVersion> expectedVersion;
    if (options.expectedVersion_) {
        expectedVersion = ConfigVersion(*options.expectedVersion_);
    }
    PlatformCaller platform(options.platform_);
    exitWith(printResult(runApply(platform, text, expectedVersion)));
}

} // namespace

void addApplyCommand(CLI::App &app)
{
    auto options = std::make_shared<ApplyOptions>();
    CLI::App *command = app.add_subcommand("apply", "Put a configuration in force on all proxies");
    command->add_option("FILE", options->file_, "Configuration to apply")->required();
    command->add_option("--platform", options->platform_, "Address of the platform's object API, IP:port")->required();
    command->add_option("--expect-version", options->expectedVersion_, "Refuse if another version than this one is in force");
    command->callback([options] { runApplyCommand(*options); });
}

} // namespace Figward
