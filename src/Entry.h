/** \file
 * Defines the entry role: accepts callers' requests, forwards each to an owner and returns exactly one answer per request.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "RetryBudget.h"
#include "TimerService.h"
#include "Units.h"

#include <map>
#include <optional>
#include <vector>

namespace Figward {

struct ProxyState;

/** A caller's request that has not been answered yet. */
struct EntryRequest
{
    Request request_;
    Time deadline_;
    Time attemptEnds_; ///< When the current attempt times out; between attempts, when the next one starts.
    std::vector<VmId> triedOwners_; ///< Owners tried in the current round.
    VmInfo owner_; ///< Owner of the current attempt.
    RequestId attempt_; ///< Id of the latest attempt, as sent to the owner.
    std::vector<RequestId> attempts_; ///< All attempts, oldest first.
    TransactionId openedTransaction_; ///< Id of the transaction that a Begin request opens.
    bool attempting_ = false; ///< An attempt is in flight; if false, the request waits for its next attempt.
    bool mayHaveRun_ = false; ///< An earlier attempt, or an earlier request with the same key, may have run.
    bool cancelling_ = false; ///< Attempts cancel the idempotency key, in order to learn the outcome, instead of running the request.
    ErrorKind lastError_ = ErrorKind::NoOwner; ///< Why the last attempt failed.
};

/** One attempt: a request forwarded to one owner. */
struct EntryAttempt
{
    RequestId request_;
    VmId owner_;
};

/** An open transaction; all its steps go to the same owner. */
struct EntryTransaction
{
    GroupId group_;
    VmInfo owner_;
    bool busy_ = false; ///< A step is in flight.
};

/** State of the entry role. */
struct EntryState
{
    std::map<RequestId, EntryRequest> requests_;
    std::map<RequestId, EntryAttempt> attempts_; ///< All attempts of requests_ by attempt id; the latest one is EntryRequest::attempt_.
    std::map<TransactionId, EntryTransaction> transactions_;
    std::map<std::string, Time> avoided_; ///< Addresses that were unreachable or unresponsive, with the time until which they are tried last.
    RetryBudget budget_;
};

void onCallerAsked(ProxyState &state, const CallerAsked &event, Time now, Effects &out);
void onCallerGone(ProxyState &state, const CallerGone &event, Time now, Effects &out);
/** Handles an owner's answer. For an attempt that is no longer the current one, only a final outcome is accepted. */
void onForwardAnswer(ProxyState &state, const PeerMessage &message, const ForwardAnswer &answer, Time now, Effects &out);
void onPeerLost(ProxyState &state, const PeerLost &event, Time now, Effects &out);
/** Handler of EntryDeadline timers. */
void onEntryTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);

} // namespace Figward
