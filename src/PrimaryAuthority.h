/** \file
 * Defines a VM's authority to use a group's primary: a lease that the group's leader or the store renews.
 *
 * Members know no leases, and a primary that was replaced answers as readily as ever. So a leader replaces a primary only when no VM can hold authority
 * over it any more, and a VM acknowledges a write, or serves a read of the primary, only under authority: both when it sends the statement and when
 * the answer comes.
 */
#pragma once

#include "Ids.h"
#include "SessionConfiguration.h"
#include "Units.h"

namespace Figward {

/** How long a renewal lasts, counted from the instant at which this VM asked for it. A gap of writes waits this long for VMs that cannot be reached. */
constexpr Duration authorityTime = std::chrono::milliseconds(1200);
/** A leader waits this much longer than authorityTime: clocks of VMs may run a little apart, and an answer that is checked is still on its way. */
constexpr Duration authorityMargin = std::chrono::milliseconds(100);

/** Authority of this VM over one group. */
struct PrimaryAuthority
{
    std::uint64_t epoch_ = 0; ///< Highest known; renewals of lower ones are refused.
    MemberId primary_; ///< Of the epoch; empty while none is known.
    Term term_;
    Time validUntil_;
    Term seen_; ///< Latest term in which any member has shown itself; a primary of an earlier one has been replaced.
};

/** The leader or the store says that \p primary may be used in \p epoch; the VM asked at \p askedAt. */
void renewAuthority(PrimaryAuthority &authority, std::uint64_t epoch, const MemberId &primary, Term term, Time askedAt);
/** No primary of an epoch below \p epoch may be used any more. */
void revokeAuthority(PrimaryAuthority &authority, std::uint64_t epoch);
/** A member has shown itself in \p term. */
void noteTerm(PrimaryAuthority &authority, Term term);
/** Whether \p member may be used as the primary at \p now. */
bool holdsAuthority(const PrimaryAuthority &authority, const MemberId &member, Time now);
/** Whether some primary may be used at \p now. */
bool holdsAuthority(const PrimaryAuthority &authority, Time now);

} // namespace Figward
