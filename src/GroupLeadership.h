/** \file
 * Defines the leadership of groups: which VM alone may replace a group's primary.
 *
 * A VM leads by a claim in the store, which it renews. Another takes a claim only when it is provably over: released, or the claimant's own VM was started
 * again, or the claim was not renewed for longer than its holder relies on it. While the store is away nobody can take a claim, and the leader goes on
 * until its own ends; the others take its word by heartbeat, or the store's where they do not hear the leader.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Reviews this VM's part in the leadership of \p group. */
void reviewLeadership(ProxyState &state, SessionGroup &group, Time now, Effects &out);
/** Takes in what the store says of the claims on groups, asked at \p askedAt. */
void onClaimsRead(ProxyState &state, const std::vector<LeaderClaim> &claims, Time askedAt, Time now, Effects &out);
/** A write of a claim, sent at \p sentAt, has ended. */
void onClaimWritten(ProxyState &state, const WriteClaim &write, const StoreAnswered &answer, Time sentAt, Time now, Effects &out);
/** The claim of a leader has changed and must be written soon. */
void wantClaimWrite(LeaderState &leader);
/** Gives up the leadership of \p group, unless a replacement is under way, so that others need not wait for the claim to end. */
void releaseLeadership(ProxyState &state, SessionGroup &group, std::string_view reason, Time now, Effects &out);

} // namespace Figward
