/** \file
 * Defines the detection of members that fail or delay statements more often than the other members of their group, and how long such outliers are avoided.
 *
 * The leader of a group compares the outcomes that all VMs report. An outlier is ejected: VMs use it only where no other member may run a statement. When its
 * ejection ends it is probed with single statements, and it is used again once these succeeded. A VM without the leader's advice avoids a member for a short
 * time after several failures in a row.
 */
#pragma once

#include "GroupReports.h"

#include <absl/types/span.h>
#include <deque>

namespace Figward {

/** Minimum number of members of a group in which outliers are ejected; with fewer, there is nothing to compare a member with. */
constexpr std::size_t minComparedMembers = 3;

/** Outcomes at one member in one interval. */
struct OutcomeCount
{
    Time at_; ///< End of the interval.
    std::uint64_t answered_ = 0;
    std::uint64_t failed_ = 0;
    Duration answerTime_{}; ///< Sum over the answered statements.
};

/** How the VMs use a member. */
enum class EjectionPhase {
    InUse,
    Ejected,
    Probing, ///< Tried with single statements.
};

/** What the leader knows about one member. */
struct MemberOutcomes
{
    std::deque<OutcomeCount> window_; ///< Outcomes of the sliding window, newest last; while probing, those since that began.
    EjectionPhase phase_ = EjectionPhase::InUse;
    Time phaseEnds_; ///< Start of probing; while probing, its end if the group has too few statements to prove the member.
    Duration ejectionTime_{}; ///< Length of the last ejection.
    Time neededUntil_; ///< Time until which the load is taken to need the member, however it behaves.
    std::optional<Time> returnedAt_; ///< Time when the member was last used again after an ejection.
};

/** What the leader knows about the members of a group. */
struct OutlierHistory
{
    std::map<MemberId, MemberOutcomes> members_;
};

/** A member of the group under review. */
struct ReviewedMember
{
    MemberId member_;
    bool serving_ = true; ///< It is running and is not about to leave.
};

/** Why a member was ejected or returned. */
enum class EjectionReason {
    Failures, ///< It fails more of its statements than the others.
    Slowness, ///< It takes longer to answer than the others.
    Proven, ///< Returned: its probes succeeded.
    Needed, ///< Returned: too few other members are left, or they are overloaded.
};
/** Name of \p reason in logs, such as "failures". */
const char *toString(EjectionReason reason);

/** What a decision about a member was based on. */
struct OutcomeComparison
{
    double failureShare_ = 0;
    double othersFailureShare_ = 0;
    Duration meanTime_{};
    Duration othersMeanTime_{}; ///< Median of the others' mean answer times; zero if too few statements were answered.
};

/** A member that was ejected, or is used again. */
struct EjectionChange
{
    MemberId member_;
    bool ejected_ = false;
    EjectionReason reason_ = EjectionReason::Failures;
    OutcomeComparison compared_;
    Duration ejectionTime_{};
};

/**
 * Records the \p increases reported by all VMs since the last call, and decides which of \p members are ejected, probed and used again. Members that are not
 * listed are forgotten.
 */
std::vector<EjectionChange>
reviewOutliers(OutlierHistory &history, absl::Span<const ReviewedMember> members, absl::Span<const MemberTotals> increases, Time now);
/** The members that VMs are to avoid at \p now. */
std::vector<EjectedMember> ejectedMembers(const OutlierHistory &history, Time now);
/** The history of a new leader: without outcomes, but with the ejections of the advice that is in force, if there is any. */
OutlierHistory adoptEjections(const ReceivedAdvice *advice, Time now);

/** Failures of statements of one VM at one member since its last answer. */
struct FailureRow
{
    std::deque<Time> failures_; ///< Newest last; only as many as memberUse() needs.
    Time avoidedUntil_;
};
/** Records a failed statement or connection attempt. */
void recordFailure(FailureRow &row, Time now);
/** Records an answer, which ends the row. */
void recordAnswer(FailureRow &row);
/** Whether the member's last outcome at this VM was a failure not long ago. */
bool isFailing(const FailureRow &row, Time now);

/** How a VM uses a member for the statements that other members may run as well. */
enum class MemberUse {
    Full,
    Probe, ///< Only for single statements that are chosen at random; see drawsProbe().
    Avoid,
};
/** The use of \p member by a VM with this \p advice, or without any if it is null. */
MemberUse memberUse(const ReceivedAdvice *advice, const MemberId &member, const FailureRow &row, Time now);
/** Whether a statement with the random number \p random is sent to a member that is being probed. */
bool drawsProbe(std::uint64_t random);

} // namespace Figward
