#include "Command.h"
#include "LogWriter.h"
#include "ProxyProcess.h"
#include "Settings.h"
#include "Signals.h"

#include <iostream>

namespace Figward {

namespace {

std::optional<TlsMaterial> readTls(const std::optional<TlsFiles> &files)
{
    if (!files) {
        return std::nullopt;
    }
    return TlsMaterial{
        readFileOrExit(files->certificateFile_), readFileOrExit(files->keyFile_), files->caFile_.empty() ? std::string() : readFileOrExit(files->caFile_)};
}

ProxyOptions optionsOf(const Settings &settings)
{
    ProxyOptions options;
    options.zone_ = settings.zone_;
    options.callerAddress_ = settings.callerAddress_;
    options.peerAddress_ = settings.peerAddress_;
    options.advertisedAddress_ = settings.advertisedAddress_ == settings.peerAddress_ ? std::string() : settings.advertisedAddress_;
    options.platformAddress_ = settings.platformAddress_;
    options.metricsAddress_ = settings.metricsAddress_;
    options.seeds_ = settings.seeds_;
    options.callerTls_ = readTls(settings.callerTls_);
    options.peerTls_ = readTls(settings.peerTls_);
    options.log_ = std::make_shared<LogWriter>(settings.name_, settings.logFile_, settings.logLevel_);
    return options;
}

void serve(const std::string &file)
{
    const CheckedSettings checked = checkSettings(readFileOrExit(file));
    exitIfProblems(file, checked.problems_);
    ProxyProcess proxy(optionsOf(*checked.settings_));
    Signals signals;
    if (const absl::Status status = proxy.start(); !status.ok()) {
        std::cerr << "figward: " << status.message() << '\n';
        exitWith(ExitCode::Failure);
    }
    // The first signal asks for a graceful shutdown, the second ends the process at once.
    signals.start([&proxy, count = 0]() mutable { ++count == 1 ? proxy.drain() : std::_Exit(static_cast<int>(ExitCode::Failure)); });
    proxy.awaitExit();
}

} // namespace

void addServeCommand(CLI::App &app)
{
    CLI::App *command =
        app.add_subcommand("serve", "Run one proxy until it is told to end; a first SIGTERM or SIGINT lets it finish its work, a second ends it");
    const auto file = std::make_shared<std::string>();
    command->add_option("--settings", *file, "Settings of this process, JSON with comments")->required()->type_name("FILE");
    command->callback([file] { serve(*file); });
}

} // namespace Figward
