/** \file
 * Defines the life of a request at an owner: accepted, queued, sent, held by a majority, answered.
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

/** Where a request stands. */
enum class RequestStage {
    Queued,
    Sent, ///< To a member, not answered yet.
    AwaitingMajority,
};

/** The proxy that a request came from. */
struct RequestOrigin
{
    VmInfo entry_;
    RequestId id_;
};

/** A request that an owner has accepted and not answered. */
struct OwnedRequest
{
    RequestOrigin origin_;
    Request request_;
    Time acceptedAt_;
    Time deadline_;
    RequestStage stage_ = RequestStage::Queued;
    QueuePlace place_; ///< While queued.
    bool mayHaveRun_ = false; ///< An earlier try was sent and its fate is open; only its key keeps a second try from running twice.
    bool waitedForReplica_ = false; ///< A timer will wake the read when its patience with replicas ends.
    StatementId statement_; ///< While sent.
    MemberId member_; ///< That it was sent to.
    bool toReplica_ = false;
    LogPoint point_; ///< While awaiting a majority.
    Answer answer_; ///< To be given once a majority holds point_.
};

/** A statement on a connection, whether or not its request still waits. */
struct SentStatement
{
    ConnectionId connection_;
    Ticket ticket_;
    Time sentAt_;
    bool opensTransaction_ = false; ///< Its connection must not be shared before the transaction it opens has ended.
};

/** Names a transaction at an owner: two entries may use the same number. */
using TransactionKey = std::pair<VmId, TransactionId>;

/** An open transaction, pinned to one connection from begin to end. */
struct OwnedTransaction
{
    ConnectionId connection_;
    MemberId member_;
    Term term_;
    Time usedAt_;
    bool busy_ = false; ///< A step is under way.
};

/** All requests of one owned group. */
struct OwnerRequests
{
    std::map<Ticket, OwnedRequest> byTicket_;
    std::map<StatementId, SentStatement> sent_;
    std::map<TransactionKey, OwnedTransaction> transactions_;
    MajorityWait majority_;
};

/** Takes in a request that an entry proxy (perhaps this one) forwards to this owner. */
void acceptRequest(ProxyState &state, const PeerMessage &message, const ForwardRequest &forward, Time now, Effects &out);
/** Gives \p ticket its one answer. */
void finishRequest(ProxyState &state, GroupOwner &owner, Ticket ticket, Answer answer, Effects &out);
/** Gives the final answer to a request whose time is up or that can no longer be served: not run if it never was sent, unknown otherwise. */
void giveUp(ProxyState &state, GroupOwner &owner, Ticket ticket, ErrorKind error, Effects &out);
/** Puts a request back into the queue; \p mayHaveRun if it was sent without an answer that proves the contrary. */
void requeue(GroupOwner &owner, Ticket ticket, bool mayHaveRun);
/** New evidence about the members: acknowledges the writes that a majority holds now. */
void onGroupViewChanged(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** The group has a new primary or lost the one it had: what was under way at the former one starts again by its key. */
void onPrimaryChanged(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Subscriber of OwnerDeadline. */
void onOwnerDeadline(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** Subscriber of OwnerPool: tends connections and abandons idle transactions. */
void onOwnerPoolTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** Starts the regular care of a group that this proxy has begun to own. */
void startOwnerRequests(ProxyState &state, GroupOwner &owner, Time now, Effects &out);

} // namespace Figward
