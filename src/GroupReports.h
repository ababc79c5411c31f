/** \file
 * Defines what VMs report about a group to its leader, and the leader's advice to all VMs.
 *
 * A VM of a large fleet runs few statements in a group, too few to judge the members or the load by itself. So each VM counts what it observes and sends the
 * totals to the leader with its heartbeats. The leader merges the totals of all VMs and returns its conclusions as advice. Totals are counted from the start of
 * the VM's process, so that a heartbeat that is lost or delivered twice changes nothing.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Figward {

/** Maximum number of members, and of pairs of pool and priority, in one report; a datagram holds the reports on several groups. */
constexpr std::size_t maxReportedMembers = 16;
constexpr std::size_t maxReportedPriorities = 16;

/** Statements of a group by the members that may run them. */
enum class MemberPool {
    Primary, ///< Only the primary may run them.
    Replicas, ///< Any member that is fresh enough may run them.
};

/** Refusal of a read by a member whose log lacked a position that the primary had reached long before. */
struct LagSighting
{
    LogPoint position_;
    Duration age_{}; ///< Time since the refusal.
};

/** Totals of one VM for one member. */
struct MemberTotals
{
    MemberId member_;
    std::uint64_t answered_ = 0; ///< Statements that the member answered in time.
    std::uint64_t failed_ = 0; ///< Statements and connection attempts that failed at the member.
    Duration answerTime_{}; ///< Sum over the answered statements of the time from sending to answer.
    std::optional<LagSighting> lagged_; ///< The last one; not a total.
};

/** Totals of one VM for the statements of one pool and priority. */
struct PriorityTotals
{
    MemberPool pool_ = MemberPool::Primary;
    unsigned priority_ = 0; ///< 0 is the most urgent.
    std::uint64_t started_ = 0; ///< Operations whose first statement was sent to a member, or refused without having been sent.
    std::uint64_t shed_ = 0; ///< Operations refused because of the admission level.
    Duration waitTime_{}; ///< Sum over the started operations of the time from arrival to the first sending, or to the refusal.
};

/** What one VM has observed of a group since its process started, or the sum or difference of such observations. */
struct GroupObservations
{
    std::vector<MemberTotals> members_;
    std::vector<PriorityTotals> priorities_;
};

/** The totals of \p member; added if missing. */
MemberTotals &totalsOf(GroupObservations &observations, const MemberId &member);
/** The totals of \p priority in \p pool; added if missing. */
PriorityTotals &totalsOf(GroupObservations &observations, MemberPool pool, unsigned priority);

/** A member that VMs avoid. */
struct EjectedMember
{
    MemberId member_;
    Duration remaining_{}; ///< Time until it may be tried again.
    bool probing_ = false; ///< It may be tried with single statements.
};

/** A replica that is behind the primary. */
struct LaggingMember
{
    MemberId member_;
    LagSighting lagged_;
};

/**
 * Which operations of a pool are admitted: all that are more urgent than priority_, the given fraction of those of priority_, and a small fraction of those
 * that are less urgent; see GroupPressure.h.
 */
struct AdmissionLevel
{
    unsigned priority_ = 0;
    double fraction_ = 1;
    Duration recovery_{}; ///< Expected time until all operations are admitted again.
};

/** Conclusions of a group's leader from the observations of all VMs. */
struct GroupAdvice
{
    std::vector<EjectedMember> ejected_;
    std::vector<LaggingMember> lagging_;
    std::optional<AdmissionLevel> primaryLevel_; ///< Absent: all operations are admitted.
    std::optional<AdmissionLevel> replicaLevel_;
};

/** Time for which a VM follows advice, from its sending: several heartbeats of the leader. Afterwards the VM decides by its own observations. */
constexpr Duration adviceLifetime = std::chrono::milliseconds(1500);

/** Advice that a VM received, or gave itself as the leader. */
struct ReceivedAdvice
{
    GroupAdvice advice_;
    Time sentAt_;
    Time ends_;
};

/** Observations of all VMs, as merged by a group's leader. */
struct ObservationMerge
{
    /** Last report of one VM. */
    struct Source
    {
        VmId incarnation_;
        GroupObservations totals_;
        Time receivedAt_;
    };
    std::map<std::string, Source> sources_; ///< Keyed by the VM's name.
    GroupObservations sum_; ///< Increases since takeIncreases() was last called.
    /** A sighting with the time of the refusal by this VM's clock. */
    struct Sighting
    {
        LogPoint position_;
        Time at_;
    };
    std::map<MemberId, Sighting> lagging_; ///< Newest sighting of each member.
};

/** Adds what the totals of the VM have increased by since its last report. The first report of an incarnation is only the base of the next. */
void mergeObservations(ObservationMerge &merge, const std::string &vm, VmId incarnation, const GroupObservations &totals, Time now);
/** Removes and returns the sum of the increases. Also forgets VMs that have not reported for long. */
GroupObservations takeIncreases(ObservationMerge &merge, Time now);
/** Replicas that were seen to lag recently. */
std::vector<LaggingMember> laggingMembers(const ObservationMerge &merge, Time now);

/** The advice to follow at \p now, or null if none was received recently enough. */
const GroupAdvice *currentAdvice(const std::optional<ReceivedAdvice> &received, Time now);

} // namespace Figward
