/** \file
 * Measures, in virtual time, how long writes of database sessions stall when the primary is lost or replaced.
 *
 * The gap is the longest time in which no write is acknowledged to any client, from shortly before the fault to 12 s after it.
 * Printed by fault and state of the platform's store: median, p99 and longest of all seeds in milliseconds, and in how many seeds writes did not resume.
 * Usage: figward_session_gap [SEEDS].
 */
#include "support/SessionWorld.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr unsigned vms = 8;
constexpr unsigned members = 3;
constexpr Duration startTime = std::chrono::seconds(4);
constexpr Duration observedTime = std::chrono::seconds(12);

enum class Fault {
    Crash, ///< The primary's process ends.
    Unresponsive, ///< The primary answers nobody, and sends nothing to its replicas.
    Cut, ///< All VMs but one, and all replicas, lose their connections to the primary.
    Release, ///< The primary announces that it gives up its role, and continues to work.
};
constexpr std::array faultNames{"crash", "dark", "cut", "release"};
enum class StoreState {
    Up,
    Down,
};
constexpr std::array storeNames{"up", "down"};

/** One client per VM that writes continuously. */
class Writers
{
public:
    explicit Writers(SessionWorld &world)
        : world_(world)
    {
        for (unsigned vm = 0; vm < vms; ++vm) {
            sessions_.push_back(world.open(vm, "ledger"));
            asked_.emplace_back();
        }
    }

    /** Sends the next write of each client whose last one was answered; returns whether one of these was done. */
    bool step()
    {
        bool done = false;
        for (std::size_t number = 0; number < sessions_.size(); ++number) {
            const SessionReply *reply = asked_[number].empty() ? nullptr : world_.answerTo(sessions_[number], asked_[number]);
            if (asked_[number].empty() || reply != nullptr) {
                done = done || (reply != nullptr && reply->code_ == ReplyCode::None);
                asked_[number] = world_.send(sessions_[number], StatementKind::Write, "WRITE a 1");
            }
        }
        return done;
    }

private:
    SessionWorld &world_;
    std::vector<std::size_t> sessions_;
    std::vector<std::string> asked_;
};

void inject(SessionWorld &world, Fault fault)
{
    if (fault == Fault::Crash) {
        world.crashMember(0);
    } else if (fault == Fault::Release) {
        world.memberLeaves(0);
    } else {
        const unsigned reaching = fault == Fault::Cut ? 1 : 0;
        for (unsigned vm = reaching; vm < vms; ++vm) {
            world.cutVmFromMember(vm, 0, true);
        }
        for (unsigned replica = 1; replica < members; ++replica) {
            world.group().member(SessionWorld::memberId(replica)).receivesNothing_ = true;
        }
    }
}

/** Returns the gap; the whole observed time if writes did not resume. */
Duration measure(std::uint64_t seed, Fault fault, StoreState store)
{
    SessionWorldConfig config;
    config.vms_ = vms;
    config.members_ = members;
    config.seed_ = seed;
    SessionWorld world(config);
    world.run(startTime + std::chrono::milliseconds(seed * 37 % 1000));
    Writers writers(world);
    constexpr Duration step = std::chrono::milliseconds(2);
    const auto play = [&](Duration duration, Time &last, Duration &longest) {
        for (const Time end = world.now() + duration; world.now() < end;) {
            world.run(step);
            if (writers.step()) {
                longest = std::max(longest, world.now() - last);
                last = world.now();
            }
        }
        longest = std::max(longest, world.now() - last);
    };
    Time last = world.now();
    Duration warmUp{};
    play(std::chrono::seconds(1), last, warmUp);
    Duration longest{};
    world.storeDown(store == StoreState::Down);
    play(std::chrono::milliseconds(300), last, longest);
    inject(world, fault);
    play(observedTime, last, longest);
    return longest;
}

void printRow(Fault fault, StoreState store, unsigned seeds)
{
    std::vector<Duration> gaps;
    unsigned stuck = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const Duration gap = measure(seed, fault, store);
        stuck += gap > observedTime - std::chrono::seconds(1) ? 1 : 0;
        gaps.push_back(gap);
    }
    std::ranges::sort(gaps);
    const auto at = [&](double share) { return toMillis(gaps[static_cast<std::size_t>(share * static_cast<double>(gaps.size() - 1))]); };
    std::printf("%-8s %-6s %7lld %7lld %7lld %7u\n",
                faultNames[static_cast<std::size_t>(fault)],
                storeNames[static_cast<std::size_t>(store)],
                static_cast<long long>(at(0.5)),
                static_cast<long long>(at(0.99)),
                static_cast<long long>(toMillis(gaps.back())),
                stuck);
}

} // namespace

int main(int argc, char **argv)
{
    constexpr unsigned defaultSeeds = 200;
    const unsigned seeds = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : defaultSeeds;
    if (seeds == 0) {
        std::fprintf(stderr, "usage: figward_session_gap [SEEDS]\n");
        return 2;
    }
    std::printf("%-8s %-6s %7s %7s %7s %7s\n", "fault", "store", "median", "p99", "longest", "not back");
    for (const StoreState store : {StoreState::Up, StoreState::Down}) {
        for (const Fault fault : {Fault::Crash, Fault::Unresponsive, Fault::Cut, Fault::Release}) {
            printRow(fault, store, seeds);
        }
    }
    return 0;
}
