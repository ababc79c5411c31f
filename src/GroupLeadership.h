/** \file
 * Defines group leadership: which VM may replace a group's primary.
 *
 * A VM leads a group by holding a claim in the store, which it renews. Another VM takes over a claim only when the claim has certainly ended: it was released
 * or resigned, the claimant's VM was restarted, or it was not renewed for longer than its holder relies on it. While the store is unavailable no VM can take a
 * claim. The leader continues until its own claim expires, and the other VMs follow its heartbeats, or read the claims from the store if they do not receive
 * the leader's heartbeats.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Updates this VM's role in the leadership of \p group: expires, renews, resigns or makes a claim as needed. */
void reviewLeadership(ProxyState &state, SessionGroup &group, Time now, Effects &out);
/** Processes the claims on groups as read from the store by a request made at \p askedAt. */
void onClaimsRead(ProxyState &state, const std::vector<LeaderClaim> &claims, Time askedAt, Time now, Effects &out);
/** Processes the claim on one group as read from the store by a request made at \p askedAt; \p claims is empty if there is none. */
void onClaimRead(ProxyState &state, const ServiceId &group, const std::vector<LeaderClaim> &claims, Time askedAt, Time now);
/** Processes the result of a claim write that was sent at \p sentAt. */
void onClaimWritten(ProxyState &state, const WriteClaim &write, const StoreAnswered &answer, Time sentAt, Time now, Effects &out);
/** Requests that the leader's claim, which has changed, is written to the store soon. */
void requestClaimWrite(LeaderState &leader);
/** Releases the leadership of \p group, unless a replacement or a claim write is in progress, so that other VMs need not wait for the claim to expire. */
void releaseLeadership(ProxyState &state, SessionGroup &group, std::string_view reason, Time now, Effects &out);

} // namespace Figward
