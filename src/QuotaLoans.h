/** \file
 * Defines the lending of idle quota between the owners of a group: short leases, renewed while needed, taken back when the lender has work itself.
 *
 * A loan ends at the borrower before it ends at the lender: the borrower counts a part of the lease from its request, which was sent before the lender began
 * to count all of it. A lost message therefore wastes quota for one lease and never doubles it.
 */
#pragma once

#include "Effect.h"
#include "Quota.h"

namespace Figward {

/** Sum of what is lent at \p now. */
Quota lentQuota(const QuotaState &quota, Time now);
/** Sum of what is borrowed at \p now and may be used for new work. */
Quota borrowedQuota(const QuotaState &quota, Time now);
/** Renews or returns what is borrowed, and forgets what has ended. */
void reviewLoans(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Returns all that is borrowed as soon as what uses it has ended. */
void beginReturningLoans(ProxyState &state, GroupOwner &owner, Time now, Effects &out);

} // namespace Figward
