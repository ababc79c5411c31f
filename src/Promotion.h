/** \file
 * Defines the last step of a failover, the promotion, and how other members rejoin: they follow the new primary and truncate entries that its log does not
 * contain.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "Units.h"

namespace Figward {

struct ProxyState;
struct GroupOwner;
struct OutstandingControl;

/** Progress in making a member follow the current primary. */
struct RejoinState
{
    Term term_; ///< Term that the member was told to follow.
    unsigned calls_ = 0; ///< Follow calls sent in that term.
    Time nextAt_; ///< No further call before this time.
};

/** Sends a Promote call to the member chosen by the attempt. */
void promoteChosen(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Handles the result of a Promote call, including a missing answer. */
void onPromoteAnswered(ProxyState &state, GroupOwner &owner, const OutstandingControl &call, const ControlAnswer &answer, Time now, Effects &out);
/** Ends the attempt after the chosen member has become primary, and informs the members and the other owners. */
void completePromotion(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/**
 * Sends Follow calls to members that do not follow the current primary: those that were unreachable, and a previous primary that does not know it was replaced.
 */
void maintainRejoins(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Informs the other owners of the current primary. */
void sendPrimaryNews(ProxyState &state, const GroupOwner &owner, Effects &out);

} // namespace Figward
