#include "OutlierEjection.h"
#include "StatementPlacement.h"

#include <gmock/gmock.h>

#include <random>

using namespace Figward;
using namespace testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration reviewInterval = milliseconds(250);

/** What a member does with the statements that it gets. */
struct Behaviour
{
    double failed_ = 0; ///< Share of the statements that fail.
    Duration time_ = milliseconds(30); ///< Mean answer time.
};

MemberId memberId(std::size_t member)
{
    return MemberId("m-" + std::to_string(member));
}

/** A group of members under constant load, and the decisions of its leader. */
class Group
{
public:
    explicit Group(std::size_t members = 3, double perSecond = 45)
        : behaviours_(members)
        , serving_(members, true)
        , perSecond_(perSecond)
    {
    }

    /** Advances the time by one review, in which the members behave as in behaviours_. */
    void review()
    {
        std::vector<MemberTotals> increases;
        std::vector<ReviewedMember> members;
        for (std::size_t member = 0; member < behaviours_.size(); ++member) {
            members.push_back({memberId(member), serving_[member]});
            increases.push_back(outcomes(member));
        }
        review(members, increases);
    }

    /** Advances the time by one review with the given outcomes. */
    void review(const std::vector<MemberTotals> &increases)
    {
        std::vector<ReviewedMember> members;
        for (std::size_t member = 0; member < behaviours_.size(); ++member) {
            members.push_back({memberId(member), serving_[member]});
        }
        review(members, increases);
    }

    void run(Duration duration)
    {
        for (const Time end = now_ + duration; now_ < end;) {
            review();
        }
    }

    [[nodiscard]] EjectionPhase phase(std::size_t member) const
    {
        const auto found = history_.members_.find(memberId(member));
        return found == history_.members_.end() ? EjectionPhase::InUse : found->second.phase_;
    }

    std::vector<Behaviour> behaviours_;
    std::vector<bool> serving_;
    OutlierHistory history_;
    std::vector<EjectionChange> changes_;
    Time now_{seconds(1000)};

private:
    void review(const std::vector<ReviewedMember> &members, const std::vector<MemberTotals> &increases)
    {
        now_ += reviewInterval;
        const std::vector<EjectionChange> changes = reviewOutliers(history_, members, increases, now_);
        changes_.insert(changes_.end(), changes.begin(), changes.end());
    }

    MemberTotals outcomes(std::size_t member)
    {
        const double probeShare = 0.1 * static_cast<double>(behaviours_.size()); // A tenth of the statements at all members.
        const EjectionPhase used = phase(member);
        const double share = used == EjectionPhase::InUse ? 1 : used == EjectionPhase::Probing ? probeShare : 0;
        const double mean = perSecond_ * share * std::chrono::duration<double>(reviewInterval).count();
        const int statements = mean > 0 ? std::poisson_distribution<int>(mean)(random_) : 0;
        MemberTotals totals{.member_ = memberId(member)};
        for (int statement = 0; statement < statements; ++statement) {
            if (std::bernoulli_distribution(behaviours_[member].failed_)(random_)) {
                ++totals.failed_;
            } else {
                ++totals.answered_;
                const double rate = 1.0 / static_cast<double>(behaviours_[member].time_.count());
                totals.answerTime_ += Duration(static_cast<std::int64_t>(std::exponential_distribution<double>(rate)(random_)));
            }
        }
        return totals;
    }

    double perSecond_;
    std::mt19937_64 random_{7};
};

MemberTotals answers(std::size_t member, std::uint64_t answered, std::uint64_t failed = 0, Duration each = milliseconds(30))
{
    return {.member_ = memberId(member), .answered_ = answered, .failed_ = failed, .answerTime_ = each * static_cast<std::int64_t>(answered)};
}

/** A group of three whose member 2 has been ejected for failures. */
Group withEjection()
{
    Group group;
    group.review({answers(0, 40), answers(1, 40), answers(2, 20, 20)});
    EXPECT_EQ(group.phase(2), EjectionPhase::Ejected);
    return group;
}

ReceivedAdvice advise(const EjectedMember &ejected, Time sentAt)
{
    GroupAdvice advice;
    advice.ejected_ = {ejected};
    return {advice, sentAt, sentAt + adviceLifetime};
}

} // namespace

TEST(OutliersAreEjected, ifTheyFailMoreThanTheOthers)
{
    Group group;
    group.run(seconds(2));
    group.behaviours_[1].failed_ = 0.45;
    group.run(seconds(1));
    ASSERT_THAT(group.changes_, SizeIs(1));
    EXPECT_EQ(group.changes_[0].member_, memberId(1));
    EXPECT_TRUE(group.changes_[0].ejected_);
    EXPECT_EQ(group.changes_[0].reason_, EjectionReason::Failures);
    EXPECT_GE(group.changes_[0].compared_.failureShare_, 0.2);
}

TEST(OutliersAreEjected, ifTheyAnswerLaterThanTheOthers)
{
    Group group;
    group.run(seconds(2));
    group.behaviours_[0].time_ *= 8;
    group.run(seconds(1));
    ASSERT_THAT(group.changes_, SizeIs(1));
    EXPECT_EQ(group.changes_[0].member_, memberId(0));
    EXPECT_EQ(group.changes_[0].reason_, EjectionReason::Slowness);
    EXPECT_GT(group.changes_[0].compared_.meanTime_, group.changes_[0].compared_.othersMeanTime_ * 3);
}

// Guards against ejections by chance: with random numbers and answer times of the statements, a member must not look like an outlier once in a long time.
TEST(OutliersAreEjected, neverInOrdinaryWork)
{
    for (const double perSecond : {5.0, 15.0, 45.0}) {
        Group group(3, perSecond);
        for (Behaviour &behaviour : group.behaviours_) {
            behaviour.failed_ = 0.01;
        }
        group.run(seconds(1000));
        EXPECT_THAT(group.changes_, IsEmpty()) << perSecond << " statements a second at each member";
    }
}

// Guards against ejections while the cause affects all members, such as statements that fail for the client's own reason: that would only remove capacity.
TEST(OutliersAreEjected, neverIfAllMembersAreAlike)
{
    for (const double failed : {0.08, 0.2, 0.3, 0.45}) {
        for (const double perSecond : {5.0, 45.0}) {
            Group group(3, perSecond);
            for (Behaviour &behaviour : group.behaviours_) {
                behaviour = {failed, milliseconds(240)};
            }
            group.run(seconds(1000));
            EXPECT_THAT(group.changes_, IsEmpty()) << failed << " of " << perSecond << " statements a second fail";
        }
    }
}

TEST(OutliersAreEjected, onlyWithEnoughEvidence)
{
    Group group;
    group.review({answers(0, 40), answers(1, 40), answers(2, 0, 4)});
    EXPECT_THAT(group.changes_, IsEmpty()) << "too few events";
    Group alone;
    alone.review({answers(2, 10, 40)});
    EXPECT_THAT(alone.changes_, IsEmpty()) << "nothing to compare with";
    Group quick;
    quick.review({answers(0, 40, 0, milliseconds(5)), answers(1, 40, 0, milliseconds(5)), answers(2, 40, 0, milliseconds(34))});
    EXPECT_THAT(quick.changes_, IsEmpty()) << "a difference that clients hardly notice";
    Group pair(2);
    pair.review({answers(0, 40), answers(1, 10, 40)});
    EXPECT_THAT(pair.changes_, IsEmpty()) << "a group of two";
}

TEST(OutliersAreEjected, forTwiceAsLongAfterEachRelapse)
{
    Group group;
    std::vector<Duration> times;
    for (int relapse = 0; relapse < 4; ++relapse) {
        group.behaviours_[2].failed_ = 0.6;
        group.run(seconds(1));
        ASSERT_EQ(group.phase(2), EjectionPhase::Ejected);
        times.push_back(group.changes_.back().ejectionTime_);
        group.behaviours_[2].failed_ = 0;
        group.run(times.back() + seconds(3));
        ASSERT_EQ(group.phase(2), EjectionPhase::InUse);
    }
    EXPECT_THAT(times, ElementsAre(seconds(2), seconds(4), seconds(8), seconds(8)));
    group.run(seconds(11));
    group.behaviours_[2].failed_ = 0.6;
    group.run(seconds(1));
    EXPECT_EQ(group.changes_.back().ejectionTime_, seconds(2)) << "long after its return";
}

TEST(OutliersAreEjected, untilTenProbesSucceeded)
{
    Group group = withEjection();
    while (group.phase(2) == EjectionPhase::Ejected) {
        group.review({answers(0, 40), answers(1, 40)});
    }
    EXPECT_EQ(group.phase(2), EjectionPhase::Probing);
    EXPECT_THAT(ejectedMembers(group.history_, group.now_), ElementsAre(Field(&EjectedMember::probing_, true)));
    group.review({answers(0, 40), answers(1, 40), answers(2, 8)});
    group.review({answers(0, 40), answers(1, 40)});
    group.review({answers(0, 40), answers(1, 40), answers(2, 1)});
    EXPECT_EQ(group.phase(2), EjectionPhase::Probing);
    group.review({answers(0, 40), answers(1, 40), answers(2, 1)});
    EXPECT_EQ(group.phase(2), EjectionPhase::InUse);
    ASSERT_FALSE(group.changes_.back().ejected_);
    EXPECT_EQ(group.changes_.back().reason_, EjectionReason::Proven);
}

// Guards against a member that returns before those of its probes that it does not answer are noticed.
TEST(OutliersAreEjected, untilUnansweredProbesAreNoticed)
{
    Group group = withEjection();
    while (group.phase(2) == EjectionPhase::Ejected) {
        group.review({answers(0, 40), answers(1, 40)});
    }
    group.review({answers(0, 40), answers(1, 40), answers(2, 20)});
    group.review({answers(0, 40), answers(1, 40)});
    EXPECT_EQ(group.phase(2), EjectionPhase::Probing);
    group.review({answers(0, 40), answers(1, 40), answers(2, 0, 2)});
    EXPECT_EQ(group.phase(2), EjectionPhase::Ejected);
}

// Guards against a member that returns although its probes failed or took too long, and against an ejection that grows with each such probe: a member must be
// in use again within 3 s of its recovery.
TEST(OutliersAreEjected, forAShortTimeAfterAProbeThatFailed)
{
    for (const MemberTotals &probes : {answers(2, 9, 1), answers(2, 3, 0, milliseconds(240))}) {
        Group group = withEjection();
        while (group.phase(2) == EjectionPhase::Ejected) {
            group.review({answers(0, 40), answers(1, 40)});
        }
        group.review({answers(0, 40), answers(1, 40), probes});
        EXPECT_EQ(group.phase(2), EjectionPhase::Ejected);
        group.run(milliseconds(2750));
        EXPECT_EQ(group.phase(2), EjectionPhase::InUse);
    }
}

// Guards against a member of a group with few statements that is never used again because no ten probes are sent.
TEST(OutliersAreEjected, notForLongWhereFewStatementsProbe)
{
    Group group = withEjection();
    for (const Time end = group.now_ + seconds(5); group.now_ < end;) {
        group.review({answers(0, 1), answers(1, 1)});
    }
    EXPECT_EQ(group.phase(2), EjectionPhase::InUse);
    Group busy = withEjection();
    for (const Time end = busy.now_ + seconds(5); busy.now_ < end;) {
        busy.review({answers(0, 40), answers(1, 40)});
    }
    EXPECT_EQ(busy.phase(2), EjectionPhase::Probing) << "there are enough statements, but no probe was answered";
}

TEST(OutliersAreEjected, whileMoreThanHalfOfTheMembersAreLeft)
{
    for (const auto &[members, most] : {std::pair<std::size_t, std::ptrdiff_t>(3, 1), {4, 1}, {5, 2}, {6, 2}}) {
        Group group(members);
        std::vector<MemberTotals> outcomes;
        for (std::size_t member = 0; member < members; ++member) {
            outcomes.push_back(member < members - 1 - static_cast<std::size_t>(most) ? answers(member, 200) : answers(member, 40, 40));
        }
        group.review(outcomes);
        EXPECT_LE(std::ranges::count_if(group.changes_, &EjectionChange::ejected_), most) << members << " members";
        group.run(milliseconds(500));
        const auto ejected = static_cast<std::ptrdiff_t>(ejectedMembers(group.history_, group.now_).size());
        EXPECT_LE(ejected, most) << members << " members";
    }
}

TEST(OutliersAreEjected, notWhenAnotherMemberStops)
{
    Group group;
    group.serving_[0] = false;
    group.review({answers(0, 40), answers(1, 40), answers(2, 20, 20)});
    EXPECT_THAT(group.changes_, IsEmpty());
    Group later = withEjection();
    later.serving_[0] = false;
    later.review();
    EXPECT_EQ(later.phase(2), EjectionPhase::InUse);
    EXPECT_EQ(later.changes_.back().reason_, EjectionReason::Needed);
}

// Guards against ejections while all members are overloaded: their queues differ in length, and with one member less the others' queues grow further.
TEST(OutliersAreEjected, notWhileTheOthersAreOverloaded)
{
    Group group;
    group.review({answers(0, 40, 0, milliseconds(120)), answers(1, 40, 0, milliseconds(120)), answers(2, 20, 20)});
    EXPECT_THAT(group.changes_, IsEmpty());
    Group later = withEjection();
    later.review({answers(0, 40, 0, milliseconds(120)), answers(1, 40, 0, milliseconds(120))});
    EXPECT_EQ(later.phase(2), EjectionPhase::Ejected);
    later.review({answers(0, 200, 0, milliseconds(200)), answers(1, 200, 0, milliseconds(200))});
    EXPECT_EQ(later.phase(2), EjectionPhase::InUse);
    EXPECT_EQ(later.changes_.back().reason_, EjectionReason::Needed);
    later.behaviours_[2].failed_ = 0.45;
    later.run(seconds(9));
    EXPECT_EQ(later.phase(2), EjectionPhase::InUse) << "the load of the others would rise again";
    later.run(seconds(3));
    EXPECT_NE(later.phase(2), EjectionPhase::InUse);
}

TEST(OutliersAreEjected, alsoByTheNextLeader)
{
    const Time now{seconds(1000)};
    const ReceivedAdvice advice = advise({.member_ = memberId(1), .remaining_ = milliseconds(1500)}, now);
    EXPECT_THAT(ejectedMembers(adoptEjections(&advice, now + milliseconds(500)), now + milliseconds(500)),
                ElementsAre(AllOf(Field(&EjectedMember::member_, memberId(1)), Field(&EjectedMember::remaining_, milliseconds(1000)))));
    EXPECT_THAT(ejectedMembers(adoptEjections(&advice, now + seconds(2)), now + seconds(2)), IsEmpty()) << "the advice has expired";
    EXPECT_THAT(ejectedMembers(adoptEjections(nullptr, now), now), IsEmpty());
}

TEST(OutliersAreEjected, atAVmWhileTheAdviceIsInForce)
{
    const Time now{seconds(1000)};
    const ReceivedAdvice advice = advise({.member_ = memberId(1), .remaining_ = milliseconds(1000)}, now);
    const FailureRow row;
    EXPECT_EQ(memberUse(&advice, memberId(1), row, now), MemberUse::Avoid);
    EXPECT_EQ(memberUse(&advice, memberId(0), row, now), MemberUse::Full);
    EXPECT_EQ(memberUse(&advice, memberId(1), row, now + milliseconds(1000)), MemberUse::Probe);
    EXPECT_EQ(memberUse(&advice, memberId(1), row, now + milliseconds(1500)), MemberUse::Full) << "the advice has expired";
}

TEST(OutliersAreEjected, byAVmWithoutAdviceAfterThreeFailuresInARow)
{
    const Time now{seconds(1000)};
    FailureRow row;
    recordFailure(row, now);
    recordFailure(row, now + milliseconds(900));
    EXPECT_EQ(memberUse(nullptr, memberId(1), row, now + milliseconds(900)), MemberUse::Full);
    EXPECT_TRUE(isFailing(row, now + milliseconds(900)));
    recordFailure(row, now + milliseconds(1900));
    EXPECT_EQ(memberUse(nullptr, memberId(1), row, now + milliseconds(1900)), MemberUse::Avoid);
    EXPECT_EQ(memberUse(nullptr, memberId(1), row, now + milliseconds(2400)), MemberUse::Full);
    const ReceivedAdvice advice = advise({.member_ = memberId(0)}, now + milliseconds(1900));
    EXPECT_EQ(memberUse(&advice, memberId(1), row, now + milliseconds(1900)), MemberUse::Full) << "the leader knows more";
}

TEST(OutliersAreEjected, byAVmWithoutAdviceOnlyForFailuresCloseTogether)
{
    const Time now{seconds(1000)};
    FailureRow slow;
    for (int failure = 0; failure < 4; ++failure) {
        recordFailure(slow, now + failure * milliseconds(1100));
    }
    EXPECT_EQ(memberUse(nullptr, memberId(1), slow, now + milliseconds(3300)), MemberUse::Full);
    FailureRow interrupted;
    recordFailure(interrupted, now);
    recordFailure(interrupted, now);
    recordAnswer(interrupted);
    recordFailure(interrupted, now);
    EXPECT_EQ(memberUse(nullptr, memberId(1), interrupted, now), MemberUse::Full);
}

TEST(OutliersAreEjected, andProbedByATenthOfTheStatements)
{
    std::mt19937_64 random{3};
    int probes = 0;
    for (int statement = 0; statement < 10000; ++statement) {
        probes += drawsProbe(random()) ? 1 : 0;
    }
    EXPECT_NEAR(probes, 1000, 150);
}

TEST(OutliersAreEjected, soThatStatementsAreOnlyPlacedThereAsALastResort)
{
    PlacementCandidate ejected{.member_ = memberId(1), .sameZone_ = true, .idleConnection_ = true};
    ejected.ejected_ = true;
    const PlacementCandidate busy{.member_ = memberId(2), .activeStatements_ = 40, .idleConnection_ = true};
    EXPECT_EQ(placeStatement(std::vector{ejected, busy}).run_, memberId(2));
    PlacementCandidate unreachable = busy;
    unreachable.unavailable_ = true;
    EXPECT_EQ(placeStatement(std::vector{ejected, unreachable}).run_, memberId(1));
    EXPECT_EQ(placeStatement(std::vector{ejected}).run_, memberId(1));
}
