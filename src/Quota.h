/** \file
 * Defines an owner's part of a group's scarce connections and slots.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "TimerService.h"
#include "Units.h"

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** Connections and slots that this owner may use now. */
struct Quota
{
    ConnectionCount connections_;
    SlotCount slots_;
};

/** Quota of one owned group. */
struct QuotaState
{
    Quota own_; ///< By rank; lent and borrowed parts not counted.
};

/** What this owner may use at \p now, loans counted. */
Quota usableQuota(const GroupOwner &owner, Time now);
/** Sets the owner's part from its rank and the number of owners. */
void resetQuota(GroupOwner &owner, unsigned ownerCount);
/** Requests wait for quota: asks other owners to lend some of theirs. */
void onQuotaShort(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
void onQuotaRequest(ProxyState &state, const PeerMessage &message, const QuotaRequest &request, Time now, Effects &out);
void onQuotaLoan(ProxyState &state, const PeerMessage &message, const QuotaLoan &loan, Time now, Effects &out);
void onQuotaReturn(ProxyState &state, const PeerMessage &message, const QuotaReturn &returned, Time now, Effects &out);
/** Subscriber of Quota. */
void onQuotaTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);

} // namespace Figward
