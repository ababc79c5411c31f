/** \file
 * Defines an owner's part of a group's scarce connections and slots.
 *
 * Owners divide the group's limits by rank. A decrease holds at once, an increase after a pause, so that the parts of all owners together stay under the limit
 * while an ownership moves. What keeps the limit when lists of VMs differ is the upstream: it refuses, and the pool backs off.
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

/** Connections and slots that this owner may use now. */
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
    Time until_; ///< It is not used here before, unless it is returned.
};

/** Quota that another owner has lent. */
struct QuotaBorrowed
{
    std::uint64_t loan_ = 0; ///< Number at the lender.
    VmInfo lender_;
    Quota amount_;
    Time until_;
    bool returning_ = false; ///< Not for new work; returned when what uses it has ended.
};

/** Quota of one owned group. */
struct QuotaState
{
    Quota own_; ///< In force until risesAt_.
    Quota target_; ///< By rank; in force from risesAt_.
    Time risesAt_;
    std::vector<QuotaLent> lent_;
    std::vector<QuotaBorrowed> borrowed_;
    std::uint64_t ask_ = 0; ///< The last request to other owners; loans that answer earlier ones do not count.
    Time askedAt_;
    Time askAgainAt_;
    Duration patience_{}; ///< Between requests that bring nothing.
    Time neededAt_; ///< When this owner last had more work than quota.
};

/** What the owner has by rank at \p now, loans not counted. */
Quota ownQuota(const GroupOwner &owner, Time now);
/** What this owner may use at \p now, loans counted. */
Quota usableQuota(const GroupOwner &owner, Time now);
/** Sets the owner's part from its rank, the number of owners and whether it is leaving. */
void resetQuota(ProxyState &state, GroupOwner &owner, unsigned ownerCount, Time now, Effects &out);
/** Closes idle connections, longest idle first, until the owner holds no more than its quota. */
void trimToQuota(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Subscriber of Quota. */
void onQuotaTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);

/** Requests wait for quota: takes back what is lent, or asks other owners to lend some of theirs. */
void onQuotaShort(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
void onQuotaRequest(ProxyState &state, const PeerMessage &message, const QuotaRequest &request, Time now, Effects &out);
void onQuotaLoan(ProxyState &state, const PeerMessage &message, const QuotaLoan &loan, Time now, Effects &out);
void onQuotaReturn(ProxyState &state, const PeerMessage &message, const QuotaReturn &returned, Time now, Effects &out);

} // namespace Figward
