#include "Command.h"
#include "GroupStandinServer.h"
#include "PlatformStandinServer.h"
#include "Signals.h"

#include <iostream>
#include <memory>
#include <thread>

namespace Figward {

namespace {

using Standin::GroupModel;
using Standin::GroupStandinServer;
using Standin::PlatformModel;
using Standin::PlatformStandinServer;

/** Options of the stand-in of a database group. Times are in the unit that the name states. */
struct GroupArguments
{
    std::vector<std::string> addresses_{"127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"};
    std::vector<std::string> members_{"ledger-1-a", "ledger-1-b", "ledger-1-c"};
    unsigned connections_ = 35;
    unsigned slots_ = 5;
    std::int64_t statementMicros_ = 500;
    std::int64_t replicationMillis_ = 5;
    double killAfterSeconds_ = 0;
    double restartAfterSeconds_ = 0;
};

struct PlatformArguments
{
    std::string address_ = "127.0.0.1:7001";
    std::int64_t answerMillis_ = 2;
    std::int64_t listLagMillis_ = 2000;
    double outageAfterSeconds_ = 0;
    double outageForSeconds_ = 0;
};

/** A fault to inject at a given time after the start. */
struct PlannedFault
{
    double afterSeconds_ = 0; ///< Zero means never.
    std::function<void()> inject_;
};

/** Runs until a signal arrives, and injects the faults in their order meanwhile. */
void serveUntilSignal(const std::vector<PlannedFault> &faults)
{
    const auto start = std::chrono::steady_clock::now();
    std::jthread faultInjector([&](const std::stop_token &stop) {
        for (const PlannedFault &fault : faults) {
            const auto at = start + std::chrono::duration<double>(fault.afterSeconds_);
            while (fault.afterSeconds_ > 0 && std::chrono::steady_clock::now() < at) {
                constexpr std::chrono::milliseconds pause(10);
                std::this_thread::sleep_for(pause);
                if (stop.stop_requested()) {
                    return;
                }
            }
            if (fault.afterSeconds_ > 0) {
                fault.inject_();
            }
        }
    });
    Signals().wait();
}

template<typename Server, typename Addresses>
void startOrExit(Server &server, const Addresses &address)
{
    if (const absl::Status status = server.start(address); !status.ok()) {
        std::cerr << "figward: " << status.message() << '\n';
        exitWith(ExitCode::Failure);
    }
    std::cout << "listening at " << server.address() << std::endl;
}

/** Returns the running primary with the latest log position, which is the one of the highest term. */
Standin::MemberIndex findPrimary(const GroupModel &model)
{
    Standin::MemberIndex primary = 0;
    for (Standin::MemberIndex member = 0; member < model.size(); ++member) {
        const MemberStatus status = model.status(member);
        if (status.primary_ && model.isUp(member) && status.log_ >= model.status(primary).log_) {
            primary = member;
        }
    }
    return primary;
}

void serveGroup(const GroupArguments &arguments)
{
    Standin::GroupModelConfig config;
    for (const std::string &member : arguments.members_) {
        config.members_.emplace_back(member);
    }
    config.connectionLimit_ = ConnectionCount(arguments.connections_);
    config.slots_ = SlotCount(arguments.slots_);
    config.statementTime_ = Duration(arguments.statementMicros_);
    config.replicationDelay_ = std::chrono::milliseconds(arguments.replicationMillis_);
    GroupStandinServer server(config, 1);
    startOrExit(server, arguments.addresses_);
    Standin::MemberIndex killed = 0;
    const PlannedFault kill{arguments.killAfterSeconds_, [&] {
                                server.run([&](GroupModel &model, Time now) {
                                    killed = findPrimary(model);
                                    model.kill(killed, true, now);
                                });
                            }};
    const PlannedFault restart{arguments.restartAfterSeconds_, [&] { server.run([&](GroupModel &model, Time now) { model.restart(killed, now); }); }};
    serveUntilSignal({kill, restart});
}

void servePlatform(const PlatformArguments &arguments)
{
    Standin::PlatformModelConfig config;
    config.answerTime_ = std::chrono::milliseconds(arguments.answerMillis_);
    config.listLag_ = std::chrono::milliseconds(arguments.listLagMillis_);
    PlatformStandinServer server(config, 1);
    startOrExit(server, arguments.address_);
    const auto setDown = [&server](bool down) {
        server.run([down](PlatformModel &model, Time) {
            Standin::PlatformFaults faults = model.faults();
            faults.down_ = down;
            model.setFaults(faults);
        });
    };
    const double after = arguments.outageAfterSeconds_;
    const double end = after > 0 && arguments.outageForSeconds_ > 0 ? after + arguments.outageForSeconds_ : 0;
    serveUntilSignal({{after, [&] { setDown(true); }}, {end, [&] { setDown(false); }}});
}

void addGroup(CLI::App &standin)
{
    CLI::App *command = standin.add_subcommand("group", "A database group that keeps its data in memory");
    const auto arguments = std::make_shared<GroupArguments>();
    command->add_option("--addresses", arguments->addresses_, "Where it listens, one for each member")->delimiter(',')->capture_default_str();
    command->add_option("--members", arguments->members_, "Names of its members, the first primary first")->delimiter(',')->capture_default_str();
    command->add_option("--connections", arguments->connections_, "Connections that it accepts")->capture_default_str();
    command->add_option("--slots", arguments->slots_, "Statements that it runs at once")->capture_default_str();
    command->add_option("--statement-us", arguments->statementMicros_, "Time of a statement, in microseconds")->capture_default_str();
    command->add_option("--replication-ms", arguments->replicationMillis_, "Delay of replication, in milliseconds")->capture_default_str();
    command->add_option("--kill-primary-after", arguments->killAfterSeconds_, "Seconds until its primary fails; 0: never")->capture_default_str();
    command->add_option("--restart-after", arguments->restartAfterSeconds_, "Seconds until that member returns; 0: never")->capture_default_str();
    command->callback([arguments] { serveGroup(*arguments); });
}

void addPlatform(CLI::App &standin)
{
    CLI::App *command = standin.add_subcommand("platform", "The platform's object API and list of VMs, kept in memory");
    const auto arguments = std::make_shared<PlatformArguments>();
    command->add_option("--address", arguments->address_, "Where it listens")->capture_default_str();
    command->add_option("--answer-ms", arguments->answerMillis_, "Time of an answer, in milliseconds")->capture_default_str();
    command->add_option("--list-lag-ms", arguments->listLagMillis_, "Lag of the list of VMs, in milliseconds")->capture_default_str();
    command->add_option("--outage-after", arguments->outageAfterSeconds_, "Seconds until an outage; 0: never")->capture_default_str();
    command->add_option("--outage-for", arguments->outageForSeconds_, "Seconds that the outage lasts; 0: to the end")->capture_default_str();
    command->callback([arguments] { servePlatform(*arguments); });
}

} // namespace

void addStandinCommand(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("standin", "Run a stand-in of what figward works with, to try it without the real thing");
    command->require_subcommand(1);
    addGroup(*command);
    addPlatform(*command);
}

} // namespace Figward
