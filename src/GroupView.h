/** \file
 * Defines what an owner knows of a group's members: who is primary in which term, and which log points a majority holds.
 */
#pragma once

#include "Configuration.h"
#include "Upstream.h"

#include <optional>
#include <vector>

namespace Figward {

/** What is known of one member. */
struct MemberView
{
    MemberConfig config_;
    std::optional<MemberStatus> status_; ///< The newest report.
    Time statusAsOf_; ///< When the call that brought status_ was sent: the member was in this state then or later.
    unsigned missedProbes_ = 0; ///< In a row.
    Time missedAt_; ///< When the last one was counted.
};

/** What is known of a group. */
struct GroupView
{
    Term term_; ///< Highest term in which a primary is known; zero before the first.
    std::optional<MemberId> primary_; ///< The primary of term_; empty while a failover runs.
    std::vector<MemberView> members_;
};

/** The member called \p id, or null. */
MemberView *findMember(GroupView &view, const MemberId &id);
/** \overload */
const MemberView *findMember(const GroupView &view, const MemberId &id);
/** The primary's view, or null. */
const MemberView *primaryOf(const GroupView &view);
/** Number of members that make a majority. */
std::size_t majorityOf(const GroupView &view);
/** Highest term at which any member is known to be fenced. */
Term highestFence(const GroupView &view);
/** Whether the log that \p status describes contains the entry at \p point, also if later terms followed it. */
bool contains(const MemberStatus &status, LogPoint point);
/**
 * Whether the entry at \p point can no longer be lost: a majority holds it, or, if it is of an earlier term than the present one, holds
 * the first entry of the present term above it; and no member is known to be fenced at a later term.
 */
bool majorityHolds(const GroupView &view, LogPoint point);
/** Takes in a report of \p member that was asked for at \p sentAt. Reports that arrive out of order do not undo newer ones. */
void noteStatus(GroupView &view, const MemberId &member, const MemberStatus &status, Time sentAt);

} // namespace Figward
