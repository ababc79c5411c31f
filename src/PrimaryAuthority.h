/** \file
 * Defines a VM's authority to use a group's primary: a lease that is renewed by the group's leader or from the store.
 *
 * Members do not know about leases, and a primary that has been replaced keeps answering. Therefore a leader replaces a primary only once no VM can still hold
 * authority over it, and a VM acknowledges a write, or serves a read from the primary, only while it holds authority. Authority is checked both when the
 * statement is sent and when the answer is received.
 */
#pragma once

#include "Ids.h"
#include "SessionConfiguration.h"
#include "Units.h"

namespace Figward {

/**
 * Validity of a renewal, counted from the time at which this VM requested it. When some VMs are unreachable, a replacement of the primary, and with it all
 * writes, waits this long.
 */
constexpr Duration authorityDuration = std::chrono::milliseconds(1200);
/**
 * Additional time that a leader waits beyond authorityDuration: the clocks of VMs may run at slightly different rates, and an answer whose authority was just
 * checked may still be on its way to the client.
 */
constexpr Duration authorityMargin = std::chrono::milliseconds(100);

/** Authority of this VM over the primary of one group. */
struct PrimaryAuthority
{
    std::uint64_t epoch_ = 0; ///< Highest known epoch; renewals for lower epochs are ignored.
    MemberId primary_; ///< Primary of the epoch; empty while unknown.
    Term term_;
    Time validUntil_;
    Term highestTerm_; ///< Highest term reported by any member. A primary of an earlier term has been replaced.
};

/** Renews the authority: the leader or the store has stated, in answer to a request made at \p askedAt, that \p primary may be used in \p epoch. */
void renewAuthority(PrimaryAuthority &authority, std::uint64_t epoch, const MemberId &primary, Term term, Time askedAt);
/** Revokes the authority over the primary of every epoch below \p epoch. */
void revokeAuthority(PrimaryAuthority &authority, std::uint64_t epoch);
/** Records that a member has reported \p term. Authority over a primary of an earlier term ends. */
void observeTerm(PrimaryAuthority &authority, Term term);
/** Whether this VM may use \p member as the primary at \p now. */
bool holdsAuthority(const PrimaryAuthority &authority, const MemberId &member, Time now);
/** Whether this VM may use the known primary at \p now. */
bool holdsAuthority(const PrimaryAuthority &authority, Time now);

} // namespace Figward
