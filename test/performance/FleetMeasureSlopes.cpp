#include "ConfigurationText.h"
#include "FleetMeasure.h"
#include "support/Fleet.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <memory>

namespace Figward::Testing {

namespace {

using std::chrono::seconds;

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/** Measures the control traffic of an idle fleet by its size. */
void slopeByVms()
{
    std::puts("| VMs | services | platform calls/s, fleet | control bytes/s a VM (peers, sent) | received | platform, both ways |");
    for (const unsigned vms : {8U, 66U, 132U, 265U, 530U}) {
        Fleet fleet({.vms_ = vms, .zones_ = vms < 60 ? 3U : 9U, .seed_ = 25});
        fleet.apply(configurationText(20, 1));
        fleet.run(seconds(120));
        fleet.setMeasuring(true);
        std::vector<Traffic> before;
        for (const FleetVm &vm : fleet.vms()) {
            before.push_back(vm.traffic_);
        }
        constexpr double span = 240;
        fleet.run(seconds(240));
        Traffic sum;
        for (std::size_t i = 0; i < vms; ++i) {
            const Traffic &now = fleet.vms()[i].traffic_;
            sum.platformCalls_ += now.platformCalls_ - before[i].platformCalls_;
            sum.platformBytes_ += now.platformBytes_ - before[i].platformBytes_;
            sum.sentBytes_ += now.sentBytes_ - before[i].sentBytes_;
            sum.receivedBytes_ += now.receivedBytes_ - before[i].receivedBytes_;
        }
        std::printf("| %u | 20 | %.1f | %.0f | %.0f | %.0f |\n",
                    vms,
                    static_cast<double>(sum.platformCalls_) / span,
                    static_cast<double>(sum.sentBytes_) / span / vms,
                    static_cast<double>(sum.receivedBytes_) / span / vms,
                    static_cast<double>(sum.platformBytes_) / span / vms);
        std::fflush(stdout);
    }
}

/** Measures one proxy that receives \p count heartbeats. */
void cpuPerHeartbeat()
{
    std::puts(
        "| VMs in the list | CPU us a heartbeat taken in | CPU ms a change of the list, 690 groups | CPU ms a change of the configuration, 690 services |");
    for (const unsigned vms : {8U, 66U, 265U, 530U}) {
        Fleet fleet({.vms_ = vms, .zones_ = 9, .seed_ = 26});
        fleet.apply(configurationText(690, 1));
        fleet.run(seconds(20));
        ProxyState &state = fleet.vms()[0].state_;
        const VmInfo peer = fleet.vms()[1].state_.identity_.self_;
        const PeerMessage heartbeat{peer.id_, state.identity_.self_.id_, peer.address_, state.configuration_.version_, Heartbeat{.sender_ = peer}};
        const auto elapsedMicros = [&](unsigned count, auto action) {
            const std::clock_t begin = std::clock();
            for (unsigned i = 0; i < count; ++i) {
                action(i);
            }
            return static_cast<double>(std::clock() - begin) * 1e6 / CLOCKS_PER_SEC / count;
        };
        const double each = elapsedMicros(20'000, [&](unsigned) { reduce(state, {fleet.now(), PeerReceived{heartbeat}}); });
        const double list = elapsedMicros(10, [&](unsigned i) {
            const VmInfo fresh{.id_ = VmId(1 + i), .zone_ = zoneName(i % 9), .address_ = "10.0.0.1:1"};
            reduce(state, {fleet.now(), PeerReceived{{peer.id_, state.identity_.self_.id_, peer.address_, ConfigVersion(1), VmListNews{.vms_ = {fresh}}}}});
        });
        const std::string text = configurationText(690, 2);
        const double configuration = elapsedMicros(5, [&](unsigned i) {
            CheckedConfiguration checked = checkConfiguration(text);
            checked.configuration_->version_ = ConfigVersion(10 + i);
            Effects out;
            activateConfiguration(state, std::move(*checked.configuration_), fleet.now(), out);
        });
        std::printf("| %u | %.2f | %.2f | %.2f |\n", vms, each, list / 1000, configuration / 1000);
        std::fflush(stdout);
    }
}

/** Measures the heap memory of a state per unit of one quantity: the difference between two sizes, divided. */
void memorySlopes()
{
    std::puts("| what | sizes | bytes each |");
    const auto slope = [](const char *what, std::vector<unsigned> sizes, auto make) {
        std::vector<double> bytes;
        for (const unsigned size : sizes) {
            const double before = heapBytes();
            const auto kept = make(size);
            bytes.push_back(heapBytes() - before);
        }
        std::printf("| %s | %u, %u, %u, %u |", what, sizes[0], sizes[1], sizes[2], sizes[3]);
        for (std::size_t i = 1; i < sizes.size(); ++i) {
            std::printf(" %.0f", (bytes[i] - bytes[i - 1]) / (sizes[i] - sizes[i - 1]));
        }
        std::puts(" |");
    };
    slope("service of one group of 3 in the configuration in force, with its part and manifest entry", {90, 180, 360, 690}, [](unsigned services) {
        auto state = std::make_unique<ProxyState>(makeProxyState({{.id_ = VmId(1), .zone_ = zoneName(0), .address_ = "a:1", .leaving_ = true}, {}}, 1));
        state->membership_.vms_.front().leaving_ = true;
        const std::string text = configurationText(services, 1);
        for (const ConfigurationPart &part : splitConfiguration(text)) {
            state->sync_.manifest_.parts_.push_back({part.name_, contentHash(part.text_)});
            state->sync_.parts_[contentHash(part.text_)] = part.text_;
        }
        CheckedConfiguration checked = checkConfiguration(text);
        checked.configuration_->version_ = ConfigVersion(1);
        Effects out;
        activateConfiguration(*state, std::move(*checked.configuration_), Time(), out);
        return state;
    });
    slope("owned group of 3 members, no connection yet", {4, 16, 64, 256}, [](unsigned services) {
        auto state = std::make_unique<ProxyState>(makeProxyState({{.id_ = VmId(1), .zone_ = zoneName(0), .address_ = "a:1"}, {}}, 1));
        CheckedConfiguration checked = checkConfiguration(configurationText(services, 1));
        checked.configuration_->version_ = ConfigVersion(1);
        Effects out;
        activateConfiguration(*state, std::move(*checked.configuration_), Time(), out);
        return state;
    });
    slope("VM in the list", {66, 132, 265, 530}, [](unsigned vms) {
        auto list = std::make_unique<std::vector<VmInfo>>();
        list->reserve(vms);
        for (unsigned i = 0; i < vms; ++i) {
            list->push_back({VmId(i), ZoneId("region-1-zone-1"), "10.100.100.100:7000", false});
        }
        return list;
    });
    slope("pooled connection of an owner", {100, 200, 400, 800}, [](unsigned connections) {
        auto pool = std::make_unique<std::map<ConnectionId, PooledConnection>>();
        for (unsigned i = 0; i < connections; ++i) {
            (*pool)[ConnectionId(i)].member_ = MemberId("tyre-ledger-1-member-1");
        }
        return pool;
    });
}

} // namespace

void measureSlopes()
{
    slopeByVms();
}

void measureCpu()
{
    cpuPerHeartbeat();
}

void measureMemory()
{
    memorySlopes();
}

} // namespace Figward::Testing
