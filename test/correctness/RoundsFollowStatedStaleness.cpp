#include "support/FailoverStory.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration millisecond = std::chrono::milliseconds(1);
constexpr Duration second = std::chrono::seconds(1);

/** Reads through \p proxy every 10 ms for \p span, accepting data up to \p maxStaleness old. Returns the percentage of reads served by replicas. */
int replicaShare(FailoverStory &story, ProxyIndex proxy, Duration maxStaleness, Duration span)
{
    int reads = 0;
    int fromReplicas = 0;
    for (Duration passed{}; passed < span; passed += 10 * millisecond) {
        Request read{.kind_ = RequestKind::Read, .service_ = ServiceId("ledger"), .group_ = World::groupId(0), .body_ = "get tyre", .timeout_ = second};
        read.maxStaleness_ = maxStaleness;
        const std::optional<Answer> answer = story.world_.askAndWait(proxy, read);
        ++reads;
        fromReplicas += answer && answer->fromReplica_ ? 1 : 0;
        story.world_.run(10 * millisecond);
    }
    EXPECT_GT(reads, 0);
    return 100 * fromReplicas / std::max(1, reads);
}

} // namespace

TEST(RoundsFollowStatedStaleness, anOwnerThatProbesSlowlyTellsSmallAges)
{
    FailoverStory story;
    const ProxyIndex slowOwner = story.ownerOfRank(2);
    EXPECT_EQ(probeRoundInterval(story.world_.state(slowOwner), *findOwner(story.world_.state(slowOwner), World::groupId(0)), Time{}), second);
    EXPECT_GE(replicaShare(story, slowOwner, 100 * millisecond, 2 * second), 95);
}

TEST(RoundsFollowStatedStaleness, roundsSlowDownOnceNobodyAsks)
{
    FailoverStory story;
    const ProxyIndex slowOwner = story.ownerOfRank(2);
    replicaShare(story, slowOwner, 100 * millisecond, second / 5);
    const ProxyState &state = story.world_.state(slowOwner);
    const GroupOwner &owner = state.owners_.at(World::groupId(0));
    const Time lastRead = owner.probes_.requestedStaleness_.halfSince_;
    EXPECT_EQ(probeRoundInterval(state, owner, lastRead), 25 * millisecond);
    EXPECT_EQ(probeRoundInterval(state, owner, lastRead + 2 * second), second);
}
