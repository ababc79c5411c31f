/** \file
 * Defines the attempts of the entry role: which owner is tried, when the next one is, and when to stop.
 */
#pragma once

#include "Effect.h"
#include "Entry.h"
#include "Units.h"

namespace Figward {

/** Sends the request to the best owner not yet tried in this round, or waits for the next round. */
void attemptRequest(ProxyState &state, RequestId id, Time now, Effects &out);
/** The last attempt failed in a way that another may not: tries again if the budget allows, else concludes. */
void retryRequest(ProxyState &state, RequestId id, Time now, Effects &out);
/** Stops trying to run the request and asks for its outcome by cancelling its key instead. */
void cancelKey(ProxyState &state, RequestId id, Time now, Effects &out);
/** Gives the caller its one answer and forgets the request. */
void concludeRequest(ProxyState &state, RequestId id, Answer answer, Effects &out);
/** Concludes with what is known: not run if no attempt can have run it, unknown otherwise. */
void concludeFailed(ProxyState &state, RequestId id, Effects &out);
/** Forgets an open transaction; \p abandon tells its owner to roll back. */
void endEntryTransaction(ProxyState &state, TransactionId transaction, bool abandon, Effects &out);

} // namespace Figward
