/** \file
 * Defines the last step of a failover, and how members that fell out rejoin: they follow the new primary and cut what its log does not contain.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "Units.h"

namespace Figward {

struct ProxyState;
struct GroupOwner;
struct OutstandingControl;

/** What was done to bring a member back to the present primary. */
struct RejoinState
{
    Term term_; ///< That it was told to follow.
    unsigned calls_ = 0; ///< In that term.
    Time nextAt_; ///< No further call before this.
};

/** Promotes the member that the attempt has chosen. */
void promoteChosen(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** The promotion was answered, or was not. */
void onPromoteAnswered(ProxyState &state, GroupOwner &owner, const OutstandingControl &call, const ControlAnswer &answer, Time now, Effects &out);
/** The chosen member is primary in the attempt's term: ends the attempt, and tells members and owners. */
void completePromotion(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Tells members that do not follow the present primary to do so: those that were away, and a former primary that does not know it was replaced. */
void tendRejoins(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Tells the other owners who is primary. */
void spreadPrimaryNews(ProxyState &state, const GroupOwner &owner, Effects &out);

} // namespace Figward
