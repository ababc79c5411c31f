/** \file
 * Defines the lifecycle of a request at an owner: accepted, queued, sent to a member, held by a majority, answered.
 */
#pragma once

#include "Admission.h"
#include "Effect.h"
#include "Event.h"
#include "MajorityWait.h"
#include "TimerService.h"
#include "Units.h"

#include <map>
#include <optional>
#include <utility>

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** Stage of a request at its owner. */
enum class RequestStage {
    Queued,
    Sent, ///< Sent to a member that has not answered yet.
    AwaitingMajority,
};

/** The entry proxy that forwarded a request, and the request's id there. */
struct RequestOrigin
{
    VmInfo entry_;
    RequestId id_;
};

/** A request that an owner has accepted but not yet answered. */
struct OwnedRequest
{
    RequestOrigin origin_;
    Request request_;
    Time acceptedAt_;
    Time deadline_;
    RequestStage stage_ = RequestStage::Queued;
    QueuePlace place_; ///< Position in the queue; valid in stage Queued.
    bool mayHaveRun_ = false; ///< An earlier attempt was sent and may have run; only the idempotency key prevents the request from running twice.
    bool waitedForReplica_ = false; ///< A timer is armed for the end of the read's wait for a replica.
    StatementId statement_; ///< Statement in flight; valid in stage Sent.
    MemberId member_; ///< Member that the statement was sent to.
    bool toReplica_ = false;
    LogPoint point_; ///< Log position of the write; valid in stage AwaitingMajority.
    Answer answer_; ///< Answer to be sent once a majority holds point_.
};

/** A statement in flight on a connection. Its request may have been answered already. */
struct SentStatement
{
    ConnectionId connection_;
    Ticket ticket_;
    Time sentAt_;
    bool opensTransaction_ = false; ///< The statement is a Begin; its connection must not be shared before the transaction has ended.
};

/** Key of a transaction at an owner; it includes the entry proxy, as two entries may use the same transaction id. */
using TransactionKey = std::pair<VmId, TransactionId>;

/** An open transaction, which uses the same connection from begin to end. */
struct OwnedTransaction
{
    ConnectionId connection_;
    MemberId member_;
    Term term_;
    Time usedAt_;
    bool busy_ = false; ///< A step is in flight.
};

/** All requests of one owned group. */
struct OwnerRequests
{
    std::map<Ticket, OwnedRequest> byTicket_;
    std::map<StatementId, SentStatement> sent_;
    std::map<TransactionKey, OwnedTransaction> transactions_;
    MajorityWait majority_;
};

/** Accepts or refuses a request forwarded by an entry proxy, which may be this proxy. */
void acceptRequest(ProxyState &state, const PeerMessage &message, const ForwardRequest &forward, Time now, Effects &out);
/** Sends the only answer to the request \p ticket and removes it. */
void finishRequest(ProxyState &state, GroupOwner &owner, Ticket ticket, Answer answer, Effects &out);
/** Ends a request whose deadline has passed or that can no longer be served: answers NotRun if it was never sent, otherwise Unknown. */
void failRequest(ProxyState &state, GroupOwner &owner, Ticket ticket, ErrorKind error, Effects &out);
/** Returns a request to the queue; \p mayHaveRun if it was sent and no answer proved that it did not run. */
void requeue(GroupOwner &owner, Ticket ticket, bool mayHaveRun);
/** Handles a new status report of a member: acknowledges the writes that a majority now holds. */
void onGroupViewChanged(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Handles the appearance of a new primary or the loss of the current one: requests in flight at the previous primary are retried under their keys. */
void onPrimaryChanged(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Handler of OwnerDeadline timers. */
void onOwnerDeadline(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** Handler of OwnerPool timers: maintains connections and aborts idle transactions. */
void onOwnerPoolTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** Starts the periodic maintenance of a group that this proxy now owns. */
void startOwnerRequests(ProxyState &state, GroupOwner &owner, Time now, Effects &out);

} // namespace Figward
