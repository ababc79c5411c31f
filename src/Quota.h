/** \file
 * Defines an owner's share of a group's limited connections and statement slots.
 *
 * The owners divide the group's limits by rank. A decrease takes effect at once and an increase after a delay, so that the sum of all shares stays below the
 * limit while ownership moves. When VMs have different lists of VMs, the upstream enforces the limit: it refuses connections, and the pool backs off.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "TimerService.h"
#include "Units.h"

#include <vector>

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** A number of connections and statement slots. */
struct Quota
{
    ConnectionCount connections_;
    SlotCount slots_;
    bool operator==(const Quota &) const = default;
};

/** Quota that is lent to another owner. */
struct QuotaLent
{
    std::uint64_t loan_ = 0;
    VmId borrower_;
    Quota amount_;
    Time expiresAt_; ///< Until then the lender does not use the quota, unless it is returned earlier.
};

/** Quota that is borrowed from another owner. */
struct QuotaBorrowed
{
    std::uint64_t loan_ = 0; ///< Id of the loan at the lender.
    VmInfo lender_;
    Quota amount_;
    Time expiresAt_;
    bool returning_ = false; ///< Not available to new work; returned when the work that uses it has ended.
};

/** State of this owner's quota for one group. */
struct QuotaState
{
    Quota previous_; ///< Limits the quota until increaseAt_.
    Quota target_; ///< Share by rank; fully usable from increaseAt_.
    Time increaseAt_;
    std::vector<QuotaLent> lent_;
    std::vector<QuotaBorrowed> borrowed_;
    std::uint64_t requestId_ = 0; ///< Id of the last request to other owners; loans that answer earlier requests are ignored.
    Time requestedAt_;
    Time nextRequestAt_;
    Duration backoff_{}; ///< Delay between requests that obtain no additional quota.
    Time lastShortageAt_; ///< When this owner last had more work than quota.
};

/** Returns the owner's share by rank at \p now, not counting loans. */
Quota ownQuota(const GroupOwner &owner, Time now);
/** Returns the quota that this owner may use at \p now, counting loans. */
Quota usableQuota(const GroupOwner &owner, Time now);
/** Sets the owner's share from its rank, the number of owners and whether it is leaving. */
void resetQuota(ProxyState &state, GroupOwner &owner, unsigned ownerCount, Time now, Effects &out);
/** Closes idle connections, longest idle first, until the owner holds no more than its quota. */
void trimToQuota(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Handles timers of TimerTopic::Quota. */
void onQuotaTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);

/** Handles a shortage of quota for queued requests: recalls quota that is lent, or else asks the other owners for loans. */
void onQuotaShortage(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
void onQuotaRequest(ProxyState &state, const PeerMessage &message, const QuotaRequest &request, Time now, Effects &out);
void onQuotaLoan(ProxyState &state, const PeerMessage &message, const QuotaLoan &loan, Time now, Effects &out);
void onQuotaReturn(ProxyState &state, const PeerMessage &message, const QuotaReturn &returned, Time now, Effects &out);

} // namespace Figward
