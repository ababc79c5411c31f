#include "support/SessionWorld.h"

#include <gmock/gmock.h>

#include <algorithm>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(3);
constexpr unsigned vms = 4;

/** Violations of a run, and whether a promotion call was held up in it. */
struct Result
{
    std::vector<std::string> violations_;
    bool heldUp_ = false;
};

/**
 * Ends a VM, so that the replacement of a primary waits until that VM's authority has expired. Then crashes the primary for 4 s; \p delay after the crash the
 * leader's VM is partitioned from the platform for \p partition.
 */
Result partitionTheLeader(Duration delay, Duration partition)
{
    SessionWorld world;
    world.run(startTime);
    const unsigned leader = *world.leader();
    const unsigned ended = (leader + 1) % vms;
    const unsigned other = (leader + 2) % vms;
    world.killVm(ended);
    const std::size_t client = world.open(other, "ledger");
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 1").code_, ReplyCode::None);
    world.crashMember(0);
    world.after(std::chrono::seconds(4), [&world] { world.restartMember(0); });
    world.run(delay);
    world.cutVmFromStore(leader, true);
    world.holdUpPromotions(leader, true);
    world.after(partition, [&world, leader] {
        world.cutVmFromStore(leader, false);
        world.holdUpPromotions(leader, false);
    });
    const Time end = world.now() + std::max(partition, Duration(std::chrono::seconds(4))) + std::chrono::seconds(4);
    while (world.now() < end) {
        world.ask(client, StatementKind::Write, "WRITE a 2");
        world.run(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE a 3").code_, ReplyCode::None) << toMillis(delay) << " ms, " << toMillis(partition) << " ms";
    world.checkLogs();
    return {world.violations(), std::ranges::any_of(world.story(), [](const std::string &line) { return line.ends_with("is held up"); })};
}

} // namespace

// Guards against a promotion call of a leader that has resigned which reaches the platform after a call of the next leader.
TEST(SessionPromotionIsHeldUp, andArrivesBeforeTheNextLeaderPromotesOrNever)
{
    constexpr Duration firstDelay = std::chrono::milliseconds(400);
    constexpr Duration lastDelay = std::chrono::milliseconds(1600);
    constexpr Duration longestPartition = std::chrono::milliseconds(5000);
    unsigned heldUp = 0;
    for (Duration delay = firstDelay; delay <= lastDelay; delay += std::chrono::milliseconds(100)) {
        for (Duration partition = std::chrono::milliseconds(300); partition <= longestPartition; partition += std::chrono::milliseconds(250)) {
            const Result result = partitionTheLeader(delay, partition);
            heldUp += result.heldUp_ ? 1 : 0;
            EXPECT_THAT(result.violations_, IsEmpty()) << toMillis(delay) << " ms, " << toMillis(partition) << " ms";
        }
    }
    EXPECT_GT(heldUp, 0U);
}
