/** \file
 * Defines the bound on the age of a replica's data.
 *
 * A replica at position p is no older than the last instant at which the primary, confirmed as primary then by a majority, was at or below p.
 * Without the confirmation, a zone that is cut off would call the replicas of its old primary fresh for ever.
 */
#pragma once

#include "GroupView.h"
#include "Units.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace Figward {

/** One probe round's evidence. */
struct AgeSample
{
    Time askedAt_; ///< The primary was at or below point_ at this instant.
    LogPoint point_;
};

/** An instant for which evidence is still coming in. Any answer to a call that was sent at or after it counts, whatever the call was for. */
struct AgeRound
{
    Time askedAt_;
    std::optional<LogPoint> primaryPoint_;
    std::set<MemberId> confirming_; ///< Members that answered, fenced no later than the term.
};

/** Evidence of one group, newest last. */
struct ReplicaAge
{
    std::deque<AgeSample> samples_;
    std::deque<AgeRound> rounds_; ///< Oldest first.
};

/** Opens a round at \p askedAt, when all members are probed. */
void openAgeRound(ReplicaAge &ages, Time askedAt);
/** Takes in what \p member reported in answer to a call sent at \p sentAt; a round that a majority confirms becomes a sample. */
void noteAgeAnswer(ReplicaAge &ages, const GroupView &view, Time sentAt, const MemberId &member, const MemberStatus &status);
/** Upper bound of the age of \p member's data at \p now; empty when nothing bounds it. */
std::optional<Duration> replicaAge(const ReplicaAge &ages, const MemberView &member, Time now);

} // namespace Figward
