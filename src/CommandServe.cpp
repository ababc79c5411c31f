#include "Command.h"
#include "LogWriter.h"
#include "PlatformProxy.h"
#include "ProxyProcess.h"
#include "Settings.h"
#include "SettingsReload.h"
#include "Signals.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace Figward {

namespace {

constexpr std::chrono::milliseconds flushTimeout(100); // An active log reader takes less than 1 ms.

std::optional<TlsMaterial> readTls(const std::optional<TlsFiles> &files)
{
    if (!files) {
        return std::nullopt;
    }
    return TlsMaterial{
        readFileOrExit(files->certificateFile_), readFileOrExit(files->keyFile_), files->caFile_.empty() ? std::string() : readFileOrExit(files->caFile_)};
}

ProxyOptions makeProxyOptions(const Settings &settings, std::shared_ptr<LogPort> log)
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
    options.log_ = std::move(log);
    return options;
}

VmId newIncarnation()
{
    std::random_device device;
    constexpr std::uint64_t positiveMask = 0x7fffffffffffffff; // Keeps the value within the signed 64-bit integers of JSON.
    return VmId(((std::uint64_t(device()) << 32U) | device()) & positiveMask);
}

Platform::PlatformOptions makePlatformOptions(const Settings &settings, std::shared_ptr<LogPort> log)
{
    Platform::PlatformOptions options;
    options.identity_.vm_ = EntryVm{settings.sessions_->vmName_, newIncarnation(), settings.advertisedAddress_, settings.zone_};
    options.identity_.seeds_ = settings.seeds_;
    options.identity_.policies_ = settings.sessions_->policies_;
    options.identity_.drainTime_ = std::chrono::milliseconds(settings.sessions_->drainMillis_);
    options.clientAddress_ = settings.callerAddress_;
    options.readyAddress_ = settings.sessions_->readyAddress_;
    options.peerAddress_ = settings.peerAddress_;
    options.storeAddress_ = settings.platformAddress_;
    options.promotionAddress_ = settings.sessions_->promotionAddress_;
    options.metricsAddress_ = settings.metricsAddress_;
    options.log_ = std::move(log);
    return options;
}

/** Counts the signals that ask a process to end. */
class EndSignals
{
public:
    explicit EndSignals(LogWriter &log)
        : log_(log)
    {
    }

    /** Returns whether \p number is the first of these signals. A second SIGINT, by which somebody at a terminal insists, ends the process at once. */
    bool isFirst(int number)
    {
        log_.write(LogNumber::SignalReceived, {{"signal", absl::StrCat(number)}, {"count", absl::StrCat(++count_)}});
        // A supervisor may signal the process and its group, so that each SIGTERM arrives twice: it must not cut the statements in progress.
        if (number == SIGINT && ++interrupts_ > 1) {
            log_.flush(flushTimeout);
            std::_Exit(static_cast<int>(ExitCode::Failure));
        }
        return count_ == 1;
    }

private:
    LogWriter &log_;
    unsigned count_ = 0;
    unsigned interrupts_ = 0;
};

/** Runs \p proxy and then ends the process. SIGTERM and SIGINT start a graceful shutdown. */
template<typename Proxy>
[[noreturn]] void runUntilExit(Proxy &proxy, LogWriter &log)
{
    EndSignals endSignals(log);
    Signals signals;
    if (const absl::Status status = proxy.start(); !status.ok()) {
        std::cerr << "figward: " << status.message() << '\n';
        exitWith(ExitCode::Failure);
    }
    signals.start([&](int number) {
        if (endSignals.isFirst(number)) {
            proxy.drain();
        }
    });
    proxy.awaitExit();
    log.flush(flushTimeout);
    // All requests have been answered, and the kernel sends the remaining output. An orderly destruction of threads and libraries would only delay the
    // next start: on VMs with a quarter of a core it was still running when the platform killed the process 4 s later.
    std::_Exit(static_cast<int>(ExitCode::Ok));
}

/** Reloads the settings on SIGHUP and logs the result. */
class SettingsReloader
{
public:
    SettingsReloader(std::string file, Settings settings, std::shared_ptr<LogWriter> log)
        : file_(std::move(file))
        , settings_(std::move(settings))
        , log_(std::move(log))
    {
        hangupSignals_.start([this](int /*number*/) { reloadFromFile(); });
    }

private:
    void reloadFromFile()
    {
        std::ifstream in(file_, std::ios::binary);
        const SettingsReload reload = reloadSettings(settings_, std::string(std::istreambuf_iterator<char>(in), {}));
        // The event is logged at the more verbose of the two levels; otherwise a change to "warning" would suppress its own log line.
        const LogLevel level = reload.logLevelChanged_ ? reload.settings_->logLevel_ : settings_.logLevel_;
        log_->setLevel(std::min(level, settings_.logLevel_));
        log_->write(reload.number_, reload.fields_);
        log_->setLevel(level);
        settings_.logLevel_ = level;
    }

    std::string file_;
    Settings settings_;
    std::shared_ptr<LogWriter> log_;
    Signals hangupSignals_{SIGHUP};
};

void serve(const std::string &file)
{
    std::signal(SIGHUP, SIG_IGN); // Without a handler, which is installed below, the signal would end the process.
    const CheckedSettings checked = checkSettings(readFileOrExit(file));
    exitIfProblems(file, checked.problems_);
    const Settings &settings = *checked.settings_;
    // On the users' platform, logs go to standard output by convention.
    const LogStream stream = settings.sessions_ ? LogStream::StandardOutput : LogStream::StandardError;
    const auto log = std::make_shared<LogWriter>(settings.name_, settings.logFile_, settings.logLevel_, stream);
    const SettingsReloader reloader(file, settings, log);
    if (settings.sessions_) {
        Platform::PlatformProxy proxy(makePlatformOptions(settings, log));
        runUntilExit(proxy, *log);
    }
    ProxyProcess proxy(makeProxyOptions(settings, log));
    runUntilExit(proxy, *log);
}

} // namespace

void addServeCommand(CLI::App &app)
{
    CLI::App *command =
        app.add_subcommand("serve", "Run one proxy until it is told to end; SIGTERM or SIGINT lets it finish its work, a second SIGINT ends it");
    const auto file = std::make_shared<std::string>();
    command->add_option("--settings", *file, "Settings of this process, JSON with comments")->required()->type_name("FILE");
    command->callback([file] { serve(*file); });
}

} // namespace Figward
