/** \file
 * Defines transactions at an owner: pinned to one connection from begin to end, rolled back when their caller vanishes.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "OwnerRequests.h"
#include "Units.h"

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** Opens the transaction of \p ticket, whose Begin was answered on \p connection. */
void openTransaction(GroupOwner &owner, const OwnedRequest &begin, ConnectionId connection, Time now);
/** The transaction ended at the upstream: its connection may be used by others. */
void closeTransaction(GroupOwner &owner, const TransactionKey &key);
/**
 * Ends a transaction whose commit was not sent. Its connection is closed: the upstream rolls back, and no later statement can meet what was left
 * open.
 */
void loseTransaction(ProxyState &state, GroupOwner &owner, const TransactionKey &key, Effects &out);
/** The entry says that the caller is gone. */
void onAbandonTransaction(ProxyState &state, const PeerMessage &message, const AbandonTransaction &abandon, Effects &out);
/** Loses the transactions that no step has used for too long: their entry proxy may have died. */
void loseIdleTransactions(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Key of the transaction that \p request belongs to. */
TransactionKey transactionKeyOf(const OwnedRequest &request);

} // namespace Figward
