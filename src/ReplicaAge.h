/** \file
 * Defines the upper bound on the age of a replica's data.
 *
 * The data of a replica at position p is no older than the last time at which the primary was at or below p and was confirmed as primary by a majority. Without
 * the confirmation, a zone that is cut off would treat the replicas of its previous primary as fresh indefinitely.
 */
#pragma once

#include "GroupView.h"
#include "Units.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace Figward {

/** A completed round: the primary's position at a given time, confirmed by a majority. */
struct AgeSample
{
    Time probedAt_; ///< Time at which the primary was at or below point_.
    LogPoint point_;
};

/** A round whose answers are still arriving. Any answer to a request sent at or after probedAt_ counts, whatever the request was for. */
struct AgeRound
{
    Time probedAt_;
    std::optional<LogPoint> primaryPoint_;
    std::set<MemberId> confirming_; ///< Members that answered and are not fenced above the current term.
};

/** Rounds and samples of one group, newest last. */
struct ReplicaAge
{
    std::deque<AgeSample> samples_;
    std::deque<AgeRound> rounds_; ///< Oldest first.
};

/** Starts a round at \p probedAt, when all members are probed. */
void openAgeRound(ReplicaAge &ages, Time probedAt);
/** Records what \p member reported in answer to a request sent at \p sentAt. A round confirmed by a majority becomes a sample. */
void recordAgeAnswer(ReplicaAge &ages, const GroupView &view, Time sentAt, const MemberId &member, const MemberStatus &status);
/** Upper bound on the age of the data of \p member at \p now; empty if no sample gives one. */
std::optional<Duration> replicaAge(const ReplicaAge &ages, const MemberView &member, Time now);

} // namespace Figward
