#include "Command.h"
#include "LogWriter.h"
#include "PlatformProxy.h"
#include "ProxyProcess.h"
#include "Settings.h"
#include "Signals.h"

#include <csignal>
#include <iostream>
#include <random>

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

VmId newIncarnation()
{
    std::random_device device;
    constexpr std::uint64_t positive = 0x7fffffffffffffff; // Fits into the signed numbers of JSON.
    return VmId(((std::uint64_t(device()) << 32U) | device()) & positive);
}

Platform::PlatformOptions platformOptionsOf(const Settings &settings)
{
    Platform::PlatformOptions options;
    options.identity_.vm_ = EntryVm{settings.sessions_->vmName_, newIncarnation(), settings.advertisedAddress_, settings.zone_};
    options.identity_.seeds_ = settings.seeds_;
    options.identity_.drainTime_ = std::chrono::milliseconds(settings.sessions_->drainMillis_);
    options.clientAddress_ = settings.callerAddress_;
    options.readyAddress_ = settings.sessions_->readyAddress_;
    options.peerAddress_ = settings.peerAddress_;
    options.storeAddress_ = settings.platformAddress_;
    options.promotionAddress_ = settings.sessions_->promotionAddress_;
    options.metricsAddress_ = settings.metricsAddress_;
    options.log_ = std::make_shared<LogWriter>(settings.name_, settings.logFile_, settings.logLevel_, LogStream::StandardOutput);
    return options;
}

/** Runs \p proxy and then ends the process: the first signal asks for a graceful shutdown, the second ends it at once. */
template<typename Proxy>
[[noreturn]] void runToEnd(Proxy &proxy)
{
    Signals signals;
    if (const absl::Status status = proxy.start(); !status.ok()) {
        std::cerr << "figward: " << status.message() << '\n';
        exitWith(ExitCode::Failure);
    }
    signals.start([&proxy, count = 0]() mutable { ++count == 1 ? proxy.drain() : std::_Exit(static_cast<int>(ExitCode::Failure)); });
    proxy.awaitExit();
    // All that was asked has been answered, and the kernel sends what is left. Unwinding threads and libraries would only delay the next start: on VMs
    // with a quarter of a core the process was still there when the platform killed it 4 s later.
    std::_Exit(static_cast<int>(ExitCode::Ok));
}

void serve(const std::string &file)
{
    // A change of the settings takes effect at the next start; without this, the signal that tells of one would end the process.
    std::signal(SIGHUP, SIG_IGN);
    const CheckedSettings checked = checkSettings(readFileOrExit(file));
    exitIfProblems(file, checked.problems_);
    if (checked.settings_->sessions_) {
        Platform::PlatformProxy proxy(platformOptionsOf(*checked.settings_));
        runToEnd(proxy);
    }
    ProxyProcess proxy(optionsOf(*checked.settings_));
    runToEnd(proxy);
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
