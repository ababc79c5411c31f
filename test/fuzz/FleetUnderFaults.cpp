// Runs eight proxies under random faults and checks three invariants: the active version never decreases at any proxy; while all proxies have had the same VM
// list for long enough, the total quota of all owners is within the group's limit; and after all faults have ended, every running proxy reaches the last
// accepted version.

#include "support/Fleet.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace Figward::Testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned zones = 3;
constexpr unsigned connectionLimit = 35;
constexpr unsigned slots = 5;
constexpr Duration settleTime = seconds(3); // Longer than a quota increase or the end of a loan takes.
const GroupId ledger("group-0");

enum class Step {
    Apply,
    CutZones,
    HealZones,
    CutPlatform,
    HealPlatform,
    PlatformDown,
    PlatformUp,
    Kill,
    Drain,
    Work,
    Pass,
    Count,
};

struct Command
{
    Step step_ = Step::Pass;
    unsigned choice_ = 0;
    unsigned millis_ = 0;
};

rc::Gen<Command> anyCommand()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(Step::Count)), rc::gen::inRange(0U, 1000U), rc::gen::inRange(1U, 4000U)),
                        [](const std::tuple<int, unsigned, unsigned> &drawn) {
                            return Command{static_cast<Step>(std::get<0>(drawn)), std::get<1>(drawn), std::get<2>(drawn)};
                        });
}

/** Checks the invariants over all proxies. */
class Oracle
{
public:
    void review(Fleet &fleet, std::size_t vm)
    {
        const FleetVm &reviewed = fleet.vms()[vm];
        const ConfigVersion version = reviewed.state_.configuration_.version_;
        RC_ASSERT(version >= versions_[vm]);
        versions_[vm] = version;
        reviewQuota(fleet);
    }

private:
    void reviewQuota(Fleet &fleet)
    {
        const std::vector<VmInfo> *owners = nullptr;
        bool agreed = true;
        std::uint32_t connectionSum = 0;
        std::uint32_t slotSum = 0;
        for (FleetVm &vm : fleet.vms()) {
            const auto known = vm.state_.membership_.owners_.find(ledger);
            if (!vm.running_ || known == vm.state_.membership_.owners_.end()) {
                agreed = agreed && !vm.running_;
                continue;
            }
            agreed = agreed && (owners == nullptr || *owners == known->second);
            owners = &known->second;
            if (const GroupOwner *owner = findOwner(vm.state_, ledger)) {
                const Quota quota = usableQuota(*owner, fleet.now());
                connectionSum += quota.connections_.value();
                slotSum += quota.slots_.value();
                agreed = agreed && !owner->leaving_;
            }
        }
        if (!agreed) {
            disagreedAt_ = fleet.now();
        }
        if (fleet.now() - disagreedAt_ > settleTime) {
            RC_ASSERT(connectionSum <= connectionLimit);
            RC_ASSERT(slotSum <= slots);
        }
    }

    std::map<std::size_t, ConfigVersion> versions_;
    Time disagreedAt_;
};

void work(Fleet &fleet, std::size_t vm, unsigned count, std::uint64_t &nextRequest)
{
    for (unsigned i = 0; i < count; ++i) {
        Request read{.kind_ = RequestKind::Read, .service_ = ServiceId("service-0"), .group_ = ledger, .body_ = "get x", .timeout_ = seconds(1)};
        fleet.give(vm, CallerAsked{RequestId(nextRequest++), std::move(read)});
    }
}

std::size_t pickRunning(Fleet &fleet, unsigned choice)
{
    std::vector<std::size_t> running;
    for (std::size_t vm = 0; vm < fleet.vms().size(); ++vm) {
        if (fleet.vms()[vm].running_) {
            running.push_back(vm);
        }
    }
    return running[choice % running.size()];
}

std::size_t countRunning(Fleet &fleet)
{
    return static_cast<std::size_t>(std::ranges::count_if(fleet.vms(), &FleetVm::running_));
}

void healAll(Fleet &fleet)
{
    fleet.platform().setFaults({});
    for (unsigned zone = 0; zone < zones; ++zone) {
        fleet.setPlatformCut(zone, false);
        fleet.setCut(zone, (zone + 1) % zones, false);
    }
}

void perform(Fleet &fleet, const Command &command, unsigned &mark, ConfigVersion &accepted, std::uint64_t &nextRequest)
{
    const unsigned zone = command.choice_ % zones;
    switch (command.step_) {
    case Step::Apply:
        if (!fleet.platform().faults().down_) {
            accepted = fleet.apply(configurationText(2, ++mark, connectionLimit, slots));
        }
        break;
    case Step::CutZones:
    case Step::HealZones:
        fleet.setCut(zone, (zone + 1) % zones, command.step_ == Step::CutZones);
        break;
    case Step::CutPlatform:
    case Step::HealPlatform:
        fleet.setPlatformCut(zone, command.step_ == Step::CutPlatform);
        break;
    case Step::PlatformDown:
    case Step::PlatformUp:
        fleet.platform().setFaults({.down_ = command.step_ == Step::PlatformDown, .silent_ = command.choice_ % 2 == 0});
        break;
    case Step::Kill:
        if (countRunning(fleet) > 4) {
            const std::size_t vm = pickRunning(fleet, command.choice_);
            fleet.kill(vm, command.choice_ % 2 == 0);
            fleet.replace(vm);
        }
        break;
    case Step::Drain:
        if (countRunning(fleet) > 4) {
            fleet.give(pickRunning(fleet, command.choice_), DrainAsked{});
        }
        break;
    case Step::Work:
        work(fleet, pickRunning(fleet, command.choice_), command.choice_ % 50, nextRequest);
        break;
    case Step::Pass:
    case Step::Count:
        break;
    }
    fleet.run(milliseconds(command.millis_));
}

RC_GTEST_PROP(FleetUnderFaults, VersionsNeverFallAndQuotaStaysWithinTheLimit, ())
{
    const auto commands = *rc::gen::container<std::vector<Command>>(40, anyCommand());
    const auto seed = *rc::gen::inRange(1U, 1'000'000U);
    Fleet fleet({.vms_ = 8, .zones_ = zones, .seed_ = seed});
    fleet.addGroup(ledger, {.members_ = {MemberId("group-0-0"), MemberId("group-0-1"), MemberId("group-0-2")}, .replicationDelay_ = milliseconds(1)});
    Oracle oracle;
    fleet.setObserver([&](Fleet &observed, std::size_t vm) { oracle.review(observed, vm); });
    unsigned mark = 0;
    std::uint64_t nextRequest = 1;
    ConfigVersion accepted = fleet.apply(configurationText(2, ++mark, connectionLimit, slots));
    for (const Command &command : commands) {
        perform(fleet, command, mark, accepted, nextRequest);
    }
    healAll(fleet);
    fleet.run(seconds(15));
    for (const FleetVm &vm : fleet.vms()) {
        RC_ASSERT(!vm.running_ || vm.state_.configuration_.version_ == accepted);
    }
}

} // namespace
} // namespace Figward::Testing
