#include "FleetMeasure.h"
#include "support/Fleet.h"

#include <algorithm>
#include <cstdio>

namespace Figward::Testing {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct DistributionMethod
{
    const char *name_;
    FleetTuning tuning_;
};

std::vector<DistributionMethod> distributionMethods()
{
    FleetTuning watch;
    watch.watchersPerZone_ = 10'000;
    watch.updateFanOut_ = 0;
    watch.heartbeatInterval_ = hours(1);
    FleetTuning push;
    push.heartbeatInterval_ = hours(1);
    FleetTuning digest;
    digest.updateFanOut_ = 0;
    return {{"all watch", watch}, {"version pushed on messages", push}, {"heartbeats only", digest}, {"push and heartbeats (chosen)", {}}};
}

struct Spread
{
    std::vector<double> millis_;
    std::size_t missing_ = 0;
};

/** Applies \p changes configurations at intervals of \p pause, and records when each VM has each of them. */
Spread measureSpread(Fleet &fleet, unsigned services, unsigned changes, Duration pause)
{
    Spread spread;
    for (unsigned change = 0; change < changes; ++change) {
        const Time appliedAt = fleet.now();
        fleet.awaitVersion(fleet.apply(configurationText(services, 100 + change)));
        fleet.run(pause);
        for (const FleetVm &vm : fleet.vms()) {
            if (vm.configuredAt_) {
                spread.millis_.push_back(static_cast<double>((*vm.configuredAt_ - appliedAt).count()) / 1000.0);
            } else {
                ++spread.missing_;
            }
        }
    }
    std::ranges::sort(spread.millis_);
    return spread;
}

double bytesPerVm(Fleet &fleet)
{
    double bytes = 0;
    for (const FleetVm &vm : fleet.vms()) {
        bytes += static_cast<double>(vm.traffic_.sentBytes_ + vm.traffic_.receivedBytes_ + vm.traffic_.platformBytes_);
    }
    return bytes / static_cast<double>(fleet.vms().size());
}

void row(const char *fleetName, const char *method, unsigned loss, Fleet &fleet, unsigned services, unsigned changes, Duration pause)
{
    fleet.run(seconds(30));
    const double before = bytesPerVm(fleet);
    const Spread spread = measureSpread(fleet, services, changes, pause);
    const double bytes = (bytesPerVm(fleet) - before) / changes;
    const double median = spread.millis_.empty() ? 0 : spread.millis_[spread.millis_.size() / 2];
    const double max = spread.millis_.empty() ? 0 : spread.millis_.back();
    std::printf("| %s | %s | %u | %.1f | %.1f | %zu | %.0f |\n", fleetName, method, loss, median, max, spread.missing_, bytes);
    std::fflush(stdout);
}

} // namespace

void measureConfiguration()
{
    std::puts("| fleet | way | loss % | median ms | max ms | VMs without it after the pause | bytes a VM and change, all control |");
    for (const DistributionMethod &method : distributionMethods()) {
        Fleet fleet({.vms_ = 8, .seed_ = 5, .tuning_ = method.tuning_});
        fleet.setMeasuring(true);
        fleet.setPlatformCut(2, true);
        fleet.apply(configurationText(3, 1));
        row("8 VMs, 1 zone of 3 cut from the platform", method.name_, 0, fleet, 3, 100, seconds(10));
    }
    constexpr unsigned lossPercent = 20;
    for (const DistributionMethod &method : distributionMethods()) {
        for (const unsigned loss : {0U, lossPercent}) {
            Fleet fleet({.vms_ = 530, .zones_ = 9, .seed_ = 5, .lossPercent_ = loss, .tuning_ = method.tuning_});
            fleet.setMeasuring(true);
            fleet.apply(configurationText(20, 1));
            row("530 VMs in 9 zones, 20 services", method.name_, loss, fleet, 20, 4, seconds(10));
        }
    }
    Fleet fleet({.vms_ = 530, .zones_ = 9, .seed_ = 6});
    fleet.setMeasuring(true);
    fleet.apply(configurationText(690, 1));
    row("530 VMs in 9 zones, 690 services", "push and heartbeats (chosen)", 0, fleet, 690, 2, seconds(10));
}

} // namespace Figward::Testing
