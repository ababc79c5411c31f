/** \file
 * Defines the attempts of the entry role: which owner is tried next, when, and when to stop.
 */
#pragma once

#include "Effect.h"
#include "Entry.h"
#include "Units.h"

namespace Figward {

/** Forwards the request to the preferred owner not yet tried in this round, or waits for the next round. */
void attemptRequest(ProxyState &state, RequestId id, Time now, Effects &out);
/** Retries a request whose last attempt failed with a retryable error if the retry budget allows; otherwise concludes the request. */
void retryRequest(ProxyState &state, RequestId id, Time now, Effects &out);
/** Stops attempts to run the request and cancels its idempotency key instead, in order to learn the outcome. */
void cancelKey(ProxyState &state, RequestId id, Time now, Effects &out);
/** Sends the caller its only answer and removes the request. */
void concludeRequest(ProxyState &state, RequestId id, Answer answer, Effects &out);
/** Concludes a request that failed: with NotRun if no attempt can have run it, otherwise with Unknown. */
void concludeFailed(ProxyState &state, RequestId id, Effects &out);
/** Removes an open transaction; with \p abandon, tells its owner to roll it back. */
void endEntryTransaction(ProxyState &state, TransactionId transaction, bool abandon, Effects &out);

} // namespace Figward
