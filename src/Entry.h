/** \file
 * Defines the entry role: takes callers' requests, finds an owner for each, and gives each its one answer.
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

/** A caller's request that is not answered yet. */
struct EntryRequest
{
    Request request_;
    Time deadline_;
    Time attemptEnds_; ///< When the present attempt is given up for the next owner.
    std::vector<VmId> tried_; ///< Owners tried in the present round.
    VmInfo owner_; ///< That has the present attempt.
    RequestId attempt_; ///< Id of the present attempt in the message to the owner.
    TransactionId beginning_; ///< The transaction that a Begin opens.
    bool attempting_ = false; ///< An owner has it; otherwise it waits for the next attempt.
    bool mayHaveRun_ = false; ///< An attempt ended without proof that it did not run.
    bool cancelling_ = false; ///< Time runs out: the present attempt cancels the key to learn the outcome.
    ErrorKind lastError_ = ErrorKind::NoOwner; ///< Why the last attempt failed.
};

/** An open transaction: all its steps go to one owner. */
struct EntryTransaction
{
    GroupId group_;
    VmInfo owner_;
    bool busy_ = false; ///< A step is under way.
};

/** State of the entry role. */
struct EntryState
{
    std::map<RequestId, EntryRequest> requests_;
    std::map<RequestId, RequestId> attempts_; ///< Attempts under way, with the requests they are for.
    std::map<TransactionId, EntryTransaction> transactions_;
    std::map<std::string, Time> avoided_; ///< Addresses that could not be reached, until when they are tried last.
    RetryBudget budget_;
};

void onCallerAsked(ProxyState &state, const CallerAsked &event, Time now, Effects &out);
void onCallerGone(ProxyState &state, const CallerGone &event, Time now, Effects &out);
/** An owner answered. Answers of attempts that were given up are dropped. */
void onForwardAnswer(ProxyState &state, const PeerMessage &message, const ForwardAnswer &answer, Time now, Effects &out);
void onPeerLost(ProxyState &state, const PeerLost &event, Time now, Effects &out);
/** Subscriber of EntryDeadline. */
void onEntryTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);

} // namespace Figward
