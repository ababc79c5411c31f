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
    std::optional<std::uint64_t> expected_;
};

ExitCode report(const ApplyResult &result)
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
        std::cerr << "conflict: version " << version << " was accepted meanwhile; nothing was changed. Look at it, then apply again.\n";
        return ExitCode::Conflict;
    case ApplyOutcome::Unavailable:
        std::cerr << "the platform cannot be reached; nothing was changed\n";
        return ExitCode::PlatformUnreachable;
    case ApplyOutcome::Unknown:
        std::cerr << "an answer of the platform was lost; whether the configuration was accepted is unknown. Applying it again is safe.\n";
        return ExitCode::Unknown;
    case ApplyOutcome::UnsafeChange:
        for (const GroupId &group : result.groups_) {
            std::cerr << group.value() << ": more than one member would change at once, which could lose writes\n";
        }
        std::cerr << "refused; nothing was changed. Change one member of a group, wait until the status shows it caught up, then the next.\n";
        return ExitCode::BadInput;
    case ApplyOutcome::Damaged:
        std::cerr << "the platform holds a manifest that cannot be read; nothing was changed\n";
        return ExitCode::Failure;
    }
    return ExitCode::Failure;
}

void apply(const ApplyOptions &options)
{
    const std::string text = readFileOrExit(options.file_);
    exitIfProblems(options.file_, checkConfiguration(text).problems_);
    if (!isAddress(options.platform_)) {
        std::cerr << "--platform: " << options.platform_ << " is no IP number and port\n";
        exitWith(ExitCode::BadInput);
    }
    std::optional<ConfigVersion> expected;
    if (options.expected_) {
        expected = ConfigVersion(*options.expected_);
    }
    PlatformCaller platform(options.platform_);
    exitWith(report(runApply(platform, text, expected)));
}

} // namespace

void addApplyCommand(CLI::App &app)
{
    auto options = std::make_shared<ApplyOptions>();
    CLI::App *command = app.add_subcommand("apply", "Put a configuration in force on all proxies");
    command->add_option("FILE", options->file_, "Configuration to apply")->required();
    command->add_option("--platform", options->platform_, "Address of the platform's object API, IP:port")->required();
    command->add_option("--expect-version", options->expected_, "Refuse if another version than this one is in force");
    command->callback([options] { apply(*options); });
}

} // namespace Figward
