#include "GroupReports.h"
#include "WireHeartbeat.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace testing;

namespace {

constexpr Time now{std::chrono::seconds(100)};

GroupObservations totals(std::uint64_t answered, std::uint64_t failed)
{
    GroupObservations observations;
    MemberTotals &member = totalsOf(observations, MemberId("m"));
    member.answered_ = answered;
    member.failed_ = failed;
    member.answerTime_ = std::chrono::milliseconds(10) * answered;
    PriorityTotals &priority = totalsOf(observations, MemberPool::Primary, 1);
    priority.started_ = answered;
    priority.waitTime_ = std::chrono::milliseconds(2) * answered;
    return observations;
}

MemberTotals merged(ObservationMerge &merge)
{
    GroupObservations sum = takeIncreases(merge, now);
    return totalsOf(sum, MemberId("m"));
}

} // namespace

// Guards against counting the totals of a VM as new when it is first heard, for example by a new leader.
TEST(ObservationsAreMerged, theFirstReportIsOnlyABase)
{
    ObservationMerge merge;
    mergeObservations(merge, "a", VmId(1), totals(500, 20), now);
    EXPECT_EQ(merged(merge).answered_, 0U);
    mergeObservations(merge, "a", VmId(1), totals(510, 23), now);
    const MemberTotals sum = merged(merge);
    EXPECT_EQ(sum.answered_, 10U);
    EXPECT_EQ(sum.failed_, 3U);
    EXPECT_EQ(sum.answerTime_, std::chrono::milliseconds(100));
}

// Guards against counting twice what a duplicated or overtaken heartbeat reports.
TEST(ObservationsAreMerged, aRepeatedOrLateReportAddsNothing)
{
    ObservationMerge merge;
    mergeObservations(merge, "a", VmId(1), totals(10, 0), now);
    mergeObservations(merge, "a", VmId(1), totals(30, 0), now);
    mergeObservations(merge, "a", VmId(1), totals(30, 0), now);
    mergeObservations(merge, "a", VmId(1), totals(20, 0), now);
    mergeObservations(merge, "a", VmId(1), totals(31, 0), now);
    EXPECT_EQ(merged(merge).answered_, 21U);
}

// Guards against negative increases after a VM was restarted and counts from zero.
TEST(ObservationsAreMerged, aRestartedVmStartsANewBase)
{
    ObservationMerge merge;
    mergeObservations(merge, "a", VmId(1), totals(500, 0), now);
    mergeObservations(merge, "a", VmId(2), totals(3, 0), now);
    mergeObservations(merge, "a", VmId(2), totals(5, 0), now);
    EXPECT_EQ(merged(merge).answered_, 2U);
}

TEST(ObservationsAreMerged, severalVmsAddUp)
{
    ObservationMerge merge;
    for (const char *vm : {"a", "b", "c"}) {
        mergeObservations(merge, vm, VmId(1), {}, now);
        mergeObservations(merge, vm, VmId(1), totals(7, 1), now);
    }
    EXPECT_EQ(merged(merge).answered_, 21U);
    EXPECT_EQ(merged(merge).answered_, 0U) << "increases are taken once";
}

// Guards against a sighting that is passed on for ever, and against an older one that replaces a newer one.
TEST(ObservationsAreMerged, theNewestSightingOfALaggingReplicaIsPassedOnForASecond)
{
    const auto seen = [](std::uint64_t position, int ageMs) {
        GroupObservations observations;
        totalsOf(observations, MemberId("m")).lagged_ = LagSighting{{Term(1), Position(position)}, std::chrono::milliseconds(ageMs)};
        return observations;
    };
    ObservationMerge merge;
    mergeObservations(merge, "a", VmId(1), seen(9, 100), now);
    mergeObservations(merge, "b", VmId(1), seen(5, 400), now);
    const std::vector<LaggingMember> lagging = laggingMembers(merge, now);
    ASSERT_EQ(lagging.size(), 1U);
    EXPECT_EQ(lagging[0].lagged_.position_.position_, Position(9));
    EXPECT_EQ(lagging[0].lagged_.age_, std::chrono::milliseconds(100));
    EXPECT_THAT(laggingMembers(merge, now + std::chrono::seconds(1)), IsEmpty());
}

// Guards against advice that outlives a leader which was lost or cut off.
TEST(ObservationsAreMerged, adviceEnds)
{
    const std::optional<ReceivedAdvice> received = ReceivedAdvice{{}, now, now + adviceLifetime};
    EXPECT_NE(currentAdvice(received, now + adviceLifetime - Duration(1)), nullptr);
    EXPECT_EQ(currentAdvice(received, now + adviceLifetime), nullptr);
    EXPECT_EQ(currentAdvice(std::nullopt, now), nullptr);
}

// Guards against fields of reports and advice that are lost on the way.
TEST(ObservationsAreMerged, reportsAndAdviceSurviveTheWire)
{
    VmHeartbeat heartbeat;
    heartbeat.name_ = "vm";
    heartbeat.from_ = VmId(1);
    heartbeat.address_ = "10.0.0.1:1";
    GroupHeartbeat group;
    group.group_ = ServiceId("g");
    group.observations_ = totals(3, 2);
    group.observations_.members_[0].lagged_ = LagSighting{{Term(2), Position(7)}, Duration(5)};
    GroupAdvice advice;
    advice.ejected_ = {{MemberId("m"), std::chrono::seconds(2), true}};
    advice.lagging_ = {{MemberId("n"), {{Term(2), Position(8)}, Duration(6)}}};
    advice.primaryLevel_ = AdmissionLevel{2, 0.25, std::chrono::seconds(1)};
    group.advice_ = advice;
    heartbeat.groups_.push_back(group);
    const std::optional<Wire::VmDatagram> decoded = Wire::decodeDatagram(Wire::encodeHeartbeat(heartbeat));
    ASSERT_TRUE(decoded.has_value());
    const GroupHeartbeat &copy = std::get<VmHeartbeat>(*decoded).groups_.at(0);
    const MemberTotals &member = copy.observations_.members_.at(0);
    EXPECT_EQ(member.member_, MemberId("m"));
    EXPECT_EQ(member.answered_, 3U);
    EXPECT_EQ(member.failed_, 2U);
    EXPECT_EQ(member.answerTime_, std::chrono::milliseconds(30));
    EXPECT_EQ(member.lagged_->position_, (LogPoint{Term(2), Position(7)}));
    EXPECT_EQ(copy.observations_.priorities_.at(0).waitTime_, std::chrono::milliseconds(6));
    EXPECT_TRUE(copy.advice_->ejected_.at(0).probing_);
    EXPECT_EQ(copy.advice_->ejected_.at(0).remaining_, std::chrono::seconds(2));
    EXPECT_EQ(copy.advice_->lagging_.at(0).lagged_.position_, (LogPoint{Term(2), Position(8)}));
    EXPECT_EQ(copy.advice_->primaryLevel_->fraction_, 0.25);
    EXPECT_FALSE(copy.advice_->replicaLevel_.has_value());
}
