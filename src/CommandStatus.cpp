#include "Command.h"
#include "FieldTable.h"
#include "PlatformCaller.h"
#include "StatusReport.h"

#include <chrono>
#include <iostream>
#include <memory>
#include <set>

namespace Figward {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);

struct StatusOptions
{
    std::string platform_;
    bool json_ = false;
};

/** Status report of a zone: the stored text and the decoded report. */
struct StoredReport
{
    std::string text_;
    ZoneReport report_;
};

/** Calls the platform and returns its answer. Ends the command if the platform does not answer. */
PlatformAnswer callOrExit(PlatformCaller &platform, PlatformBody body)
{
    PlatformAnswer answer = platform.call(std::move(body), callTimeout);
    if (answer.status_ == PlatformStatus::Unavailable || answer.status_ == PlatformStatus::Lost) {
        std::cerr << "the platform is unreachable; the proxies continue without it. Their logs and metrics show their state.\n";
        exitWith(ExitCode::PlatformUnreachable);
    }
    return answer;
}

/** Returns the availability zones in which the platform lists VMs. */
std::set<ZoneId> listedZones(PlatformCaller &platform)
{
    std::set<ZoneId> zones;
    for (const VmInfo &vm : callOrExit(platform, ListVms{}).vms_) {
        zones.insert(vm.zone_);
    }
    return zones;
}

std::vector<StoredReport> readReports(PlatformCaller &platform)
{
    std::vector<StoredReport> reports;
    for (const ZoneId &zone : listedZones(platform)) {
        const PlatformAnswer answer = callOrExit(platform, GetObject{statusPath(zone)});
        if (answer.status_ != PlatformStatus::Ok) {
            std::cerr << zone.value() << ": no report yet\n";
            continue;
        }
        absl::StatusOr<ZoneReport> report = decodeZoneReport(answer.value_);
        if (!report.ok()) {
            std::cerr << zone.value() << ": the report is unreadable: " << report.status().message() << '\n';
            continue;
        }
        reports.push_back({answer.value_, *std::move(report)});
    }
    return reports;
}

void printJson(const std::vector<StoredReport> &reports)
{
    std::cout << "{\"zones\":[";
    const char *separator = "";
    for (const StoredReport &report : reports) {
        std::cout << separator << report.text_;
        separator = ",";
    }
    std::cout << "]}\n";
}

void printText(const std::vector<StoredReport> &reports)
{
    std::vector<ZoneReport> zones;
    zones.reserve(reports.size());
    for (const StoredReport &report : reports) {
        zones.push_back(report.report_);
    }
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
    std::cout << renderStatus(zones, static_cast<std::uint64_t>(now.count()));
}

void runStatus(const StatusOptions &options)
{
    if (!isAddress(options.platform_)) {
        std::cerr << "--platform: " << options.platform_ << " is not an IP address and port\n";
        exitWith(ExitCode::BadInput);
    }
    PlatformCaller platform(options.platform_);
    const std::vector<StoredReport> reports = readReports(platform);
    if (options.json_) {
        printJson(reports);
    } else {
        printText(reports);
    }
}

} // namespace

void addStatusCommand(CLI::App &app)
{
    const auto options = std::make_shared<StatusOptions>();
    CLI::App *command = app.add_subcommand("status", "Show what is wrong, since when, what figward did, and what to do");
    command->add_option("--platform", options->platform_, "Address of the platform's object API, IP:port")->required();
    command->add_flag("--json", options->json_, "Print the reports as stored, as one JSON object");
    command->callback([options] { runStatus(*options); });
}

} // namespace Figward
