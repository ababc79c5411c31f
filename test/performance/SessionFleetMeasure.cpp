/** \file
 * Measures the cost of a VM that serves database sessions, by the number of VMs: processor time, heartbeats, calls to the store and connections opened,
 * in virtual time.
 *
 * Usage: figward_session_fleet_measure [VMS] [GROUPS] [SCALE] [SECONDS] [CONNECTIONS]; without arguments 24, 77 and 295 VMs with 20 groups.
 */
#include "support/SessionLoad.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(14);

struct FleetShape
{
    unsigned vms_ = 0;
    unsigned groups_ = 0;
    double scale_ = 0;
    unsigned seconds_ = 0;
    unsigned connections_ = 125; ///< Connections that a member accepts.
};

/** Sizes of the entries of a large deployment, and the links of its store (1,000 Mbit/s) and of its small VMs (20 Mbit/s). */
TransferModel transfers(const FleetShape &shape)
{
    TransferModel model;
    model.storeBytesPerSecond_ = 125e6;
    model.vmBytesPerSecond_ = 2.5e6;
    model.configurationBytes_ = 480.0 * shape.groups_;
    model.entryBytes_ = 260;
    return model;
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void printCalls(const SessionWorld &world)
{
    for (const auto &[kind, count] : world.storeCalls()) {
        std::printf("    %-20s %llu\n", kind.c_str(), static_cast<unsigned long long>(count));
    }
}

void measure(const FleetShape &shape)
{
    SessionWorldConfig config;
    config.vms_ = shape.vms_;
    config.groups_ = shape.groups_;
    config.slots_ = 5;
    config.maxConnections_ = shape.connections_;
    config.transfers_ = transfers(shape);
    SessionWorld world(config);
    std::vector<LoadRoute> routes;
    for (unsigned group = 0; group < shape.groups_; ++group) {
        const std::vector<LoadRoute> more = ledgerLoad(shape.scale_, group);
        routes.insert(routes.end(), more.begin(), more.end());
    }
    world.run(startTime);
    unsigned ready = 0;
    for (unsigned vm = 0; vm < shape.vms_; ++vm) {
        ready += world.ready(vm) ? 1 : 0;
    }
    std::printf("%u of %u VMs ready\n", ready, shape.vms_);
    std::printf("%u VMs, %u groups, start of %lld s: store calls\n", shape.vms_, shape.groups_, static_cast<long long>(toMillis(startTime) / 1000));
    printCalls(world);
    const std::uint64_t heartbeats = world.heartbeats();
    const double before = processorSeconds();
    SessionLoad load(world, routes, shape.vms_, 1);
    load.run(std::chrono::seconds(shape.seconds_));
    const double seconds = shape.seconds_ + 8.0; // The longest timeout of an operation expires before the load ends.
    const double spent = processorSeconds() - before;
    std::printf("  %.2f ms of processor time a VM and second (with members and clients), %.1f heartbeats sent a VM and second, store calls by the end\n",
                1000 * spent / seconds / shape.vms_,
                static_cast<double>(world.heartbeats() - heartbeats) / seconds / shape.vms_);
    printCalls(world);
    double served = 0;
    for (const LoadRoute &route : routes) {
        served += load.count(route.database_).shareInAim() / static_cast<double>(routes.size());
    }
    std::printf("  in aim %.3f, connections refused %zu, promises broken %zu\n",
                served,
                world.logged(LogNumber::UpstreamConnectFailed).size(),
                world.violations().size());
}

} // namespace

int main(int count, char **words)
{
    const std::vector<std::string> arguments(words + 1, words + count);
    const auto number = [&](std::size_t place, double otherwise) { return place < arguments.size() ? std::stod(arguments[place]) : otherwise; };
    const std::vector<unsigned> sizes = arguments.empty() ? std::vector<unsigned>{24, 77, 295} : std::vector<unsigned>{static_cast<unsigned>(number(0, 0))};
    for (const unsigned vms : sizes) {
        measure({vms, static_cast<unsigned>(number(1, 20)), number(2, 0.54), static_cast<unsigned>(number(3, 10)), static_cast<unsigned>(number(4, 125))});
    }
    return 0;
}
