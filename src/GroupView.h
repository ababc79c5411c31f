/** \file
 * Defines what an owner knows about a group's members: which member is primary in which term, and which log positions a majority holds.
 */
#pragma once

#include "Configuration.h"
#include "Upstream.h"

#include <optional>
#include <vector>

namespace Figward {

/** State of one member as known to the owner. */
struct MemberView
{
    MemberConfig config_;
    std::optional<MemberStatus> status_; ///< The latest status report.
    Time statusAsOf_; ///< When the request answered by status_ was sent; the member reached this state at that time or later.
    unsigned missedProbes_ = 0; ///< Consecutive probes without an answer.
    Time lastMissedAt_; ///< When the last missed probe was counted.
};

/** State of a group as known to the owner. */
struct GroupView
{
    Term term_; ///< Highest term with a known primary; zero if none has been known.
    std::optional<MemberId> primary_; ///< Primary of term_; empty during a failover.
    std::vector<MemberView> members_;
};

/** Returns the member with the id \p id, or null. */
MemberView *findMember(GroupView &view, const MemberId &id);
/** \overload */
const MemberView *findMember(const GroupView &view, const MemberId &id);
/** Returns the primary, or null if none is known. */
const MemberView *primaryOf(const GroupView &view);
/** Number of members that form a majority. */
std::size_t majorityOf(const GroupView &view);
/** Highest term at which any member has reported being fenced. */
Term highestFence(const GroupView &view);
/** Whether the log described by \p status contains the entry at \p point, including when entries of later terms follow it. */
bool contains(const MemberStatus &status, LogPoint point);
/**
 * Whether the entry at \p point is safe from loss. A majority must hold it or, if it belongs to an earlier term, hold the first entry of the current term,
 * which follows it. No member may be known to be fenced at a later term.
 */
bool majorityHolds(const GroupView &view, LogPoint point);
/** Records the status of \p member that was requested at \p sentAt. A report that arrives out of order does not replace a newer one. */
void recordStatus(GroupView &view, const MemberId &member, const MemberStatus &status, Time sentAt);

} // namespace Figward
