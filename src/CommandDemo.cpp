#include "Command.h"
#include "Demo.h"
#include "PlatformDemo.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <memory>

namespace Figward {

namespace {

constexpr unsigned minSeconds = 5; ///< In a shorter run, the steps of the schedule would overlap.
constexpr unsigned maxSeconds = 3600;

struct CommandOptions
{
    unsigned seconds_ = 20;
    bool json_ = false;
    bool platform_ = false;
    std::string logPrefix_;
};

double replicaShare(const LoadRecords &records)
{
    return records.reads_ == 0 ? 0 : static_cast<double>(records.replicaReads_) / static_cast<double>(records.reads_);
}

std::string resultToJson(const DemoResult &result)
{
    const LoadRecords &records = result.records_;
    return boost::json::serialize(boost::json::object{
        {"statements", records.statements_},
        {"reads", records.reads_},
        {"replica_reads", records.replicaReads_},
        {"replica_read_share", replicaShare(records)},
        {"failover_gap_ms", result.failoverGap_.count()},
        {"failover_gap_platform_up_ms", result.failoverGapPlatformUp_.count()},
        {"failover_gap_platform_down_ms", result.failoverGapPlatformDown_.count()},
        {"config_spread_ms", result.configSpread_.count()},
        {"acknowledged_writes", acknowledgedWrites(records)},
        {"lost_writes", result.lostWrites_},
        {"doubled_writes", result.doubledWrites_},
        {"stale_reads", records.staleReads_},
        {"ran_though_not_run", result.ranThoughNotRun_},
        {"cut_by_drain", result.cutByDrain_},
        {"unknown_outcomes", records.unknown_},
        {"not_run", records.notRun_},
    });
}

void printReport(const DemoResult &result)
{
    std::cout << describe(result.records_) << "longest stall of writes: " << result.failoverGapPlatformUp_.count() << " ms (platform up), "
              << result.failoverGapPlatformDown_.count() << " ms (platform down)\n"
              << "configuration in force everywhere after " << result.configSpread_.count() << " ms\n"
              << "acknowledged writes: " << acknowledgedWrites(result.records_) << ", lost: " << result.lostWrites_ << ", doubled: " << result.doubledWrites_
              << ", ran though told not run: " << result.ranThoughNotRun_ << "\n"
              << "requests cut by the drain: " << result.cutByDrain_ << "\n"
              << (promisesKept(result) ? "every promise was kept\n" : "A PROMISE WAS BROKEN\n");
}

void runPlatformDemo()
{
    const absl::StatusOr<Platform::PlatformDemoResult> result = Platform::runPlatformDemo();
    if (!result.ok()) {
        std::cerr << "the demo could not be run: " << result.status().ToString() << '\n';
        exitWith(ExitCode::Failure);
    }
    std::cout << Platform::describe(*result);
    exitWith(Platform::promisesKept(*result) ? ExitCode::Ok : ExitCode::Failure);
}

void runDemoCommand(const CommandOptions &options)
{
    if (options.platform_) {
        runPlatformDemo();
    }
    DemoOptions demoOptions;
    demoOptions.length_ = std::chrono::seconds(options.seconds_);
    demoOptions.logPrefix_ = options.logPrefix_;
    demoOptions.progressOutput_ = options.json_ ? nullptr : &std::cout;
    const absl::StatusOr<DemoResult> result = runDemo(demoOptions);
    if (!result.ok()) {
        std::cerr << "the demo could not be run: " << result.status().ToString() << '\n';
        exitWith(ExitCode::Failure);
    }
    if (options.json_) {
        std::cout << resultToJson(*result) << '\n';
    } else {
        printReport(*result);
    }
    exitWith(promisesKept(*result) ? ExitCode::Ok : ExitCode::Failure);
}

} // namespace

void addDemoCommand(CLI::App &app)
{
    auto options = std::make_shared<CommandOptions>();
    CLI::App *command = app.add_subcommand("demo", "Run proxies, stand-ins and a load in this process, with faults on a stated schedule");
    command->add_option("--seconds", options->seconds_, "Length of the load")->check(CLI::Range(minSeconds, maxSeconds))->capture_default_str();
    command->add_flag("--json", options->json_, "Print one JSON object instead of a report");
    command->add_option("--log-prefix", options->logPrefix_, "Write the log of each proxy to a file whose name begins so");
    command->add_flag("--platform", options->platform_, "Play a fixed short day of database sessions on a stand-in of the users' platform instead");
    command->callback([options] { runDemoCommand(*options); });
}

} // namespace Figward
