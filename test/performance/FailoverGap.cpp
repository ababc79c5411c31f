/** \file
 * Measures, in virtual time, how long writes to a group stall when its primary is lost, and how many primaries are replaced unnecessarily.
 *
 * The gap lasts from the loss to the first write in a later term that is acknowledged to any caller. Printed by size, fault and state of the platform: median,
 * p99 and the longest of all seeds, in milliseconds. Usage: FailoverGap [SEEDS [FIRST_SEED [QUIET_SEEDS [SIZE [FAULT]]]]],
 * where SIZE is consorcio or magnolia and FAULT a name of the table's second column; without them, all.
 */
#include "support/World.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string_view>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration millisecond = std::chrono::milliseconds(1);
constexpr Duration second = std::chrono::seconds(1);
constexpr Duration gapLimit = 20 * second;
constexpr std::size_t writers = 16;

enum class Fault {
    Crash,
    Partition,
    Pause,
    ZoneLoss,
};
enum class PlatformState {
    Up,
    Slow,
    Down,
};

struct UserSize
{
    const char *name_;
    Duration betweenZones_;
    ConnectionCount connections_;
};

constexpr std::array<const char *, 4> faultNames{"crash", "partition", "pause", "zone-loss"};
constexpr std::array<const char *, 3> platformNames{"up", "slow", "down"};

WorldConfig worldOf(const UserSize &size, std::uint64_t seed)
{
    WorldConfig config;
    config.seed_ = seed;
    config.proxies_ = 8;
    config.groups_ = 3;
    config.betweenZones_ = size.betweenZones_;
    config.group_.connectionLimit_ = size.connections_;
    config.group_.statementJitter_ = millisecond;
    return config;
}

/** One world with callers that write to the first group continuously. */
struct Trial
{
    explicit Trial(const WorldConfig &config)
        : world_(config)
        , random_(config.seed_ * 977 + 1)
    {
    }

    Duration upTo(Duration limit)
    {
        return Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit.count())));
    }

    void write(std::size_t writer)
    {
        Request request{.kind_ = RequestKind::Write, .service_ = ServiceId("ledger"), .group_ = World::groupId(0), .body_ = "add n 1", .timeout_ = second};
        request.key_ = {{100, writer + 1}, Sequence(++sequence_)};
        request.class_ = ClassId("fitment");
        world_.ask(writer % world_.proxies(), request, [this, writer](const std::optional<Answer> &answer) { onAnswer(writer, answer); });
    }

    void onAnswer(std::size_t writer, const std::optional<Answer> &answer)
    {
        if (!answer) {
            return;
        }
        const auto point = answer->token_.points_.find(World::groupId(0));
        const bool done = answer->outcome_ == Outcome::Done && point != answer->token_.points_.end();
        if (done && point->second.term_ > highest_) {
            highest_ = point->second.term_;
            highestAt_ = world_.now();
        }
        const Duration pause = answer->retryAfter_.value_or(5 * millisecond);
        world_.schedule(world_.now() + pause, [this, writer] { write(writer); });
    }

    World world_;
    std::mt19937_64 random_;
    std::uint64_t sequence_ = 0;
    Term highest_; ///< Highest term of the acknowledged writes.
    Time highestAt_; ///< Time of the first acknowledged write in that term.
};

void setPlatform(Trial &trial, PlatformState state)
{
    if (state == PlatformState::Slow) {
        trial.world_.platform().setFaults({.additionalLatency_ = 3 * second});
    } else if (state == PlatformState::Down) {
        trial.world_.platform().setFaults({.down_ = true, .silent_ = trial.random_() % 2 == 0});
    }
}

void loseZone(World &world, std::size_t zone)
{
    for (std::size_t group = 0; group < world.groups(); ++group) {
        for (Standin::MemberIndex member = 0; member < world.group(group).size(); ++member) {
            if (world.zoneOfMember(group, member) == zone) {
                world.group(group).kill(member, false, world.now());
            }
        }
    }
    for (ProxyIndex proxy = 0; proxy < world.proxies(); ++proxy) {
        if (world.zoneOfProxy(proxy) == zone) {
            world.killProxy(proxy);
        }
    }
}

void injectFault(Trial &trial, Fault fault)
{
    World &world = trial.world_;
    const Standin::MemberIndex primary = world.primaryOf(0);
    const std::size_t zone = world.zoneOfMember(0, primary);
    switch (fault) {
    case Fault::Crash:
        world.group(0).kill(primary, trial.random_() % 2 == 0, world.now());
        break;
    case Fault::Partition:
        world.setZonesCut(zone, (zone + 1) % 3, true);
        world.setZonesCut(zone, (zone + 2) % 3, true);
        break;
    case Fault::Pause:
        world.group(0).pause(primary, world.now());
        break;
    case Fault::ZoneLoss:
        loseZone(world, zone);
        break;
    }
    world.run(Duration::zero());
}

/** Returns the gap of one seed; gapLimit if writes did not resume. */
Duration gapOf(const UserSize &size, std::uint64_t seed, Fault fault, PlatformState platform)
{
    Trial trial(worldOf(size, seed));
    trial.world_.run(2 * second);
    for (std::size_t writer = 0; writer < writers; ++writer) {
        trial.write(writer);
    }
    setPlatform(trial, platform);
    trial.world_.run(second + trial.upTo(2 * second));
    const Term previousTerm = trial.highest_;
    injectFault(trial, fault);
    const Time lostAt = trial.world_.now();
    while (trial.highest_ <= previousTerm && trial.world_.now() - lostAt < gapLimit) {
        trial.world_.run(10 * millisecond);
    }
    return trial.highest_ > previousTerm ? trial.highestAt_ - lostAt : gapLimit;
}

void printGaps(const UserSize &size, Fault fault, PlatformState platform, std::uint64_t firstSeed, std::uint64_t seeds)
{
    std::vector<Duration> gaps;
    std::uint64_t worst = firstSeed;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        gaps.push_back(gapOf(size, seed, fault, platform));
        if (gaps.back() == std::ranges::max(gaps)) {
            worst = seed;
        }
    }
    std::ranges::sort(gaps);
    const auto unfinished = std::ranges::count(gaps, gapLimit);
    std::printf("%-10s %-10s %-5s %6zu %8.0f %8.0f %8.0f %10td %6llu\n",
                size.name_,
                faultNames.at(static_cast<std::size_t>(fault)),
                platformNames.at(static_cast<std::size_t>(platform)),
                gaps.size(),
                static_cast<double>(gaps[gaps.size() / 2].count()) / 1000,
                static_cast<double>(gaps[gaps.size() * 99 / 100].count()) / 1000,
                static_cast<double>(gaps.back().count()) / 1000,
                unfinished,
                static_cast<unsigned long long>(worst));
    std::fflush(stdout);
}

/**
 * Returns the number of promotions in ten minutes without a lost primary, but with pauses of members and proxies below the suspicion time and delays between
 * proxies.
 */
std::uint64_t falsePromotions(const UserSize &size, std::uint64_t seed)
{
    Trial trial(worldOf(size, seed));
    World &world = trial.world_;
    world.run(2 * second);
    trial.write(0);
    trial.write(1);
    world.setPeerFaults({.delayPercent_ = 5});
    for (int step = 0; step < 1200; ++step) {
        const std::size_t group = trial.random_() % world.groups();
        const Standin::MemberIndex member = trial.random_() % world.group(group).size();
        const ProxyIndex proxy = trial.random_() % world.proxies();
        world.group(group).pause(member, world.now());
        world.pauseProxy(proxy);
        world.run(trial.upTo(200 * millisecond));
        world.group(group).resume(member, world.now());
        world.resumeProxy(proxy);
        world.run(300 * millisecond);
    }
    std::uint64_t promotions = 0;
    for (std::size_t group = 0; group < world.groups(); ++group) {
        const std::vector<LogPoint> starts = world.group(group).status(world.primaryOf(group)).termStarts_;
        promotions += starts.size() - 1;
    }
    return promotions;
}

std::uint64_t argument(int argc, char **argv, int index, std::uint64_t otherwise)
{
    return argc > index ? std::strtoull(argv[index], nullptr, 10) : otherwise;
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argument(argc, argv, 1, 500);
    const std::uint64_t firstSeed = argument(argc, argv, 2, 1);
    const std::uint64_t quietSeeds = argument(argc, argv, 3, 6);
    constexpr std::array<UserSize, 2> sizes{UserSize{"consorcio", std::chrono::microseconds(1500), ConnectionCount(35)},
                                            UserSize{"magnolia", std::chrono::microseconds(1000), ConnectionCount(55)}};
    std::printf("%-10s %-10s %-5s %6s %8s %8s %8s %10s %6s\n", "size", "fault", "plat.", "seeds", "median", "p99", "max", "unfinished", "worst");
    for (const UserSize &size : sizes) {
        if (argc > 4 && std::string_view(argv[4]) != size.name_) {
            continue;
        }
        for (const Fault fault : {Fault::Crash, Fault::Partition, Fault::Pause, Fault::ZoneLoss}) {
            if (argc > 5 && std::string_view(argv[5]) != faultNames.at(static_cast<std::size_t>(fault))) {
                continue;
            }
            for (const PlatformState platform : {PlatformState::Up, PlatformState::Slow, PlatformState::Down}) {
                printGaps(size, fault, platform, firstSeed, seeds);
            }
        }
    }
    std::uint64_t promotions = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + quietSeeds; ++seed) {
        promotions += falsePromotions(sizes[seed % sizes.size()], seed);
    }
    std::printf("quiet runs of 3 groups for 8 to 10 minutes with pauses below 200 ms: %llu, false promotions: %llu\n",
                static_cast<unsigned long long>(quietSeeds),
                static_cast<unsigned long long>(promotions));
    return 0;
}
