#include "ReplicaAge.h"

#include <gtest/gtest.h>

using namespace Figward;

namespace {

constexpr Duration roundInterval = std::chrono::milliseconds(10);
const MemberId primary("a");
const MemberId replica("b");

MemberStatus status(std::uint64_t position, bool isPrimary)
{
    return {{Term(1), Position(position)}, Term(1), isPrimary, {{Term(1), Position(1)}}};
}

/** Rounds every 10 ms for two minutes; the primary's log grows by one entry in each. */
ReplicaAge twoMinutes(GroupView &view, Time &now)
{
    view.term_ = Term(1);
    view.primary_ = primary;
    view.members_ = {{.config_ = {.id_ = primary}}, {.config_ = {.id_ = replica}}, {.config_ = {.id_ = MemberId("c")}}};
    ReplicaAge ages;
    for (std::uint64_t round = 1; round <= 12'000; ++round) {
        now += roundInterval;
        openAgeRound(ages, now);
        recordAgeAnswer(ages, view, now, primary, status(round, true));
        recordAgeAnswer(ages, view, now, replica, status(1, false));
    }
    return ages;
}

} // namespace

TEST(AgesReachFarBack, aReplicaThatLagsByAMinuteHasAnAge)
{
    GroupView view;
    Time now;
    const ReplicaAge ages = twoMinutes(view, now);
    EXPECT_LE(ages.samples_.size(), 256U);
    for (const std::uint64_t lagRounds : {1U, 50U, 500U, 6'000U}) {
        MemberView member{.config_ = {.id_ = replica}};
        member.status_ = status(12'000 - lagRounds, false);
        const std::optional<Duration> age = replicaAge(ages, member, now);
        const Duration lag = static_cast<int>(lagRounds) * roundInterval;
        ASSERT_TRUE(age.has_value()) << lagRounds;
        EXPECT_GE(*age, lag);
        EXPECT_LE(*age, lag + lag / 5 + roundInterval) << lagRounds;
    }
}
