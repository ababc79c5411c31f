/** \file
 * Defines transactions at an owner. A transaction uses one connection from begin to end and is rolled back if its caller disappears.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "OwnerRequests.h"
#include "Units.h"

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** Records the transaction opened by \p begin, which was answered on \p connection. */
void openTransaction(GroupOwner &owner, const OwnedRequest &begin, ConnectionId connection, Time now);
/** Removes a transaction that ended at the upstream and releases its connection. */
void closeTransaction(GroupOwner &owner, const TransactionKey &key);
/**
 * Aborts a transaction. Closing its connection makes the upstream roll it back, unless a commit that was already sent takes effect, and ensures that no later
 * statement runs inside it.
 */
void abortTransaction(ProxyState &state, GroupOwner &owner, const TransactionKey &key, Effects &out);
/** Handles an entry's message that a transaction is abandoned, for example because its caller has disconnected. */
void onAbandonTransaction(ProxyState &state, const PeerMessage &message, const AbandonTransaction &abandon, Effects &out);
/** Aborts transactions that have been idle too long; their entry proxy may have failed. */
void abortIdleTransactions(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Returns the key of the transaction that \p request belongs to. */
TransactionKey transactionKeyOf(const OwnedRequest &request);

} // namespace Figward
