/** \file
 * Defines loans of idle quota between the owners of a group. A loan is a short lease: it is renewed while needed, and recalled when the lender has work.
 *
 * A loan expires at the borrower before it expires at the lender: the borrower counts a shorter lease from the time of its request, whereas the lender counts
 * the full lease from when it grants the loan, which is later. A lost message can therefore leave quota unused for one lease, but it can never cause the quota
 * to be used twice.
 */
#pragma once

#include "Effect.h"
#include "Quota.h"

namespace Figward {

/** Returns the total quota that is lent at \p now. */
Quota lentQuota(const QuotaState &quota, Time now);
/** Returns the total quota that is borrowed at \p now and available to new work. */
Quota borrowedQuota(const QuotaState &quota, Time now);
/** Renews or returns borrowed quota as needed, and removes expired loans. */
void renewOrReturnLoans(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Marks all borrowed quota as returning; it is returned as soon as the work that uses it has ended. */
void beginReturningLoans(ProxyState &state, GroupOwner &owner, Time now, Effects &out);

} // namespace Figward
