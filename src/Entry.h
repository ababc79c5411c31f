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
    RequestId attempt_; ///< Id of the newest attempt in the message to the owner.
    std::vector<RequestId> attempts_; ///< All attempts, oldest first.
    TransactionId beginning_; ///< The transaction that a Begin opens.
    bool attempting_ = false; ///< An owner has it; otherwise it waits for the next attempt.
    bool mayHaveRun_ = false; ///< An attempt ended without proof that it did not run.
    bool cancelling_ = false; ///< Time runs out: the present attempt cancels the key to learn the outcome.
    ErrorKind lastError_ = ErrorKind::NoOwner; ///< Why the last attempt failed.
};

/** One attempt: a request sent to one owner. */
struct EntryAttempt
{
    RequestId request_;
    VmId owner_;
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
    std::map<RequestId, EntryAttempt> attempts_; ///< All attempts of requests_, by their ids; the newest is EntryRequest::attempt_.
    std::map<TransactionId, EntryTransaction> transactions_;
    std::map<std::string, Time> avoided_; ///< Addresses that could not be reached, until when they are tried last.
    RetryBudget budget_;
};

void onCallerAsked(ProxyState &state, const CallerAsked &event, Time now, Effects &out);
void onCallerGone(ProxyState &state, const CallerGone &event, Time now, Effects &out);
/** An owner answered. Of attempts that were given up, only an answer that settles the request for good is taken. */
void onForwardAnswer(ProxyState &state, const PeerMessage &message, const ForwardAnswer &answer, Time now, Effects &out);
void onPeerLost(ProxyState &state, const PeerLost &event, Time now, Effects &out);
/** Subscriber of EntryDeadline. */
void onEntryTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);

} // namespace Figward
