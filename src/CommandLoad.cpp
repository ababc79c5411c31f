#include "Command.h"
#include "FieldTable.h"
#include "LoadSession.h"

#include <iostream>
#include <memory>
#include <thread>

namespace Figward {

namespace {

constexpr unsigned maxSessions = 2000;
constexpr unsigned percent = 100;

struct CommandOptions
{
    std::vector<std::string> proxies_;
    std::string service_;
    std::vector<std::string> groups_;
    std::vector<std::string> classes_;
    unsigned seconds_ = 10;
    unsigned staleMillis_ = 1000;
    LoadPlan plan_;
};

void checkAddresses(const std::vector<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        if (!isAddress(address)) {
            std::cerr << "--proxy: " << address << " is not an IP address and port\n";
            exitWith(ExitCode::BadInput);
        }
    }
}

LoadPlan makeLoadPlan(const CommandOptions &options)
{
    LoadPlan plan = options.plan_;
    plan.service_ = ServiceId(options.service_);
    for (const std::string &group : options.groups_) {
        plan.groups_.emplace_back(group);
    }
    for (const std::string &id : options.classes_) {
        plan.classes_.emplace_back(id);
    }
    plan.maxStaleness_ = std::chrono::milliseconds(options.staleMillis_);
    return plan;
}

void load(const CommandOptions &options)
{
    checkAddresses(options.proxies_);
    const LoadPlan plan = makeLoadPlan(options);
    ProxyDirectory proxies(options.proxies_);
    std::atomic<bool> stopping = false;
    std::thread timer([&] {
        std::this_thread::sleep_for(std::chrono::seconds(options.seconds_));
        stopping = true;
    });
    const LoadRecords records = runLoad(plan, proxies, stopping);
    timer.join();
    std::cout << describe(records);
    if (records.statements_ > 0 && records.reads_ + acknowledgedWrites(records) == 0) {
        std::cerr << "no statement succeeded\n";
        exitWith(ExitCode::Failure);
    }
    exitWith(records.staleReads_ == 0 ? ExitCode::Ok : ExitCode::Failure);
}

} // namespace

void addLoadCommand(CLI::App &app)
{
    auto options = std::make_shared<CommandOptions>();
    LoadPlan &plan = options->plan_;
    CLI::App *command = app.add_subcommand("load", "Put a load on running proxies by sessions that move between them");
    command->add_option("--proxy", options->proxies_, "Address at which a proxy takes callers, IP:port; once for each")->required();
    command->add_option("--service", options->service_, "Service to ask")->required();
    command->add_option("--group", options->groups_, "Group to ask; once for each")->required();
    command->add_option("--class", options->classes_, "Class of work to name; once for each");
    command->add_option("--seconds", options->seconds_, "Length")->check(CLI::Range(1, 86400))->capture_default_str();
    command->add_option("--sessions", plan.sessions_, "Sessions; each runs one statement at a time")->check(CLI::Range(1U, maxSessions))->capture_default_str();
    command->add_option("--rate", plan.statementsPerSecond_, "Statements a second of all sessions together")
        ->check(CLI::Range(1, 1'000'000))
        ->capture_default_str();
    command->add_option("--writes", plan.writePercent_, "Writes, percent of statements")->check(CLI::Range(0U, percent))->capture_default_str();
    command->add_option("--stale-reads", plan.stalePercent_, "Reads that accept an age, percent of statements")
        ->check(CLI::Range(0U, percent))
        ->capture_default_str();
    command->add_option("--max-staleness-ms", options->staleMillis_, "The age that they accept, ms")->capture_default_str();
    command->add_option("--hops", plan.proxyChangePercent_, "Statements before which a session moves to another proxy, percent")
        ->check(CLI::Range(0U, percent))
        ->capture_default_str();
    command->add_option("--seed", plan.seed_, "Seed of the draws")->capture_default_str();
    command->callback([options] { load(*options); });
}

} // namespace Figward
