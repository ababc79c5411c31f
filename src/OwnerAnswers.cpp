#include "OwnerAnswers.h"

#include "MemberChoice.h"
#include "OwnerDispatch.h"
#include "OwnerTransactions.h"
#include "ProxyState.h"

namespace Figward {

namespace {

constexpr Duration refusalBackoff = std::chrono::milliseconds(100);
constexpr Duration busyBackoff = std::chrono::milliseconds(1);
constexpr std::uint64_t dispatchOnly = 1; // Key of an OwnerPool timer that only triggers a dispatch.

GroupOwner *ownerOf(ProxyState &state, ConnectionId connection)
{
    const auto group = state.connections_.find(connection);
    return group == state.connections_.end() ? nullptr : findOwner(state, group->second);
}

Answer doneAnswer(const GroupOwner &owner, const OwnedRequest &owned, const UpstreamAnswer &answered)
{
    Answer answer;
    answer.outcome_ = Outcome::Done;
    answer.body_ = answered.body_;
    answer.servedBy_ = owned.member_;
    answer.fromReplica_ = owned.toReplica_;
    advance(answer.token_, owner.config_.id_, answered.point_);
    return answer;
}

/** Holds the answer back until a majority holds \p point. */
void awaitMajority(ProxyState &state, GroupOwner &owner, Ticket ticket, LogPoint point, Answer answer, Time now, Effects &out)
{
    OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
    owned.stage_ = RequestStage::AwaitingMajority;
    owned.point_ = point;
    owned.answer_ = std::move(answer);
    beginWait(owner.requests_.majority_, point, ticket, now);
    pollPositions(state, owner, now, out);
}

/**
 * Whether the member's status at the time of its answer still meets the read's requirements. Since it was chosen, its log may have been truncated or its term
 * may have ended.
 */
bool isReadValid(const GroupOwner &owner, const OwnedRequest &owned, const UpstreamAnswer &answered)
{
    const ReadRequirements requirements = readRequirementsOf(owned.request_, owner.config_.id_);
    if (!requirements.after_) {
        return true;
    }
    return owned.toReplica_ ? contains(answered.status_, *requirements.after_) : answered.status_.log_.term_ >= requirements.after_->term_;
}

void handleDone(ProxyState &state, GroupOwner &owner, Ticket ticket, ConnectionId connection, const UpstreamAnswer &answered, Time now, Effects &out)
{
    OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
    Answer answer = doneAnswer(owner, owned, answered);
    const bool step = isTransactionStep(owned.request_);
    switch (owned.request_.kind_) {
    case RequestKind::Read:
        if (!step && !isReadValid(owner, owned, answered)) {
            requeue(owner, ticket, true);
            return;
        }
        finishRequest(state, owner, ticket, std::move(answer), out);
        return;
    case RequestKind::Begin:
        openTransaction(owner, owned, connection, now);
        answer.token_ = {};
        finishRequest(state, owner, ticket, std::move(answer), out);
        return;
    case RequestKind::Rollback:
        answer.token_ = {};
        closeTransaction(owner, transactionKeyOf(owned));
        finishRequest(state, owner, ticket, std::move(answer), out);
        return;
    case RequestKind::Write:
        if (step) {
            // Writes of a transaction enter the log only at the commit, so the session has no new position yet.
            answer.token_ = {};
            finishRequest(state, owner, ticket, std::move(answer), out);
            return;
        }
        awaitMajority(state, owner, ticket, answered.point_, std::move(answer), now, out);
        return;
    case RequestKind::Commit:
    case RequestKind::CancelKey:
        awaitMajority(state, owner, ticket, answered.point_, std::move(answer), now, out);
        return;
    }
}

/** Handles the answer of a member that is not, or no longer, primary of the term that the owner assumes. */
void handleWrongTerm(ProxyState &state, GroupOwner &owner, Ticket ticket, Time now, Effects &out)
{
    const OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
    const bool assumedPrimary = owner.view_.primary_ == owned.member_;
    if (isTransactionStep(owned.request_)) {
        const TransactionKey key = transactionKeyOf(owned);
        finishRequest(state, owner, ticket, notRun(ErrorKind::TransactionLost), out);
        abortTransaction(state, owner, key, out);
    } else {
        requeue(owner, ticket, false);
    }
    if (assumedPrimary) {
        // If the member were still taken for the primary, the same statement would be sent to it again immediately and without end.
        owner.view_.primary_.reset();
        onPrimaryChanged(state, owner, now, out);
    }
}

void handleBusy(ProxyState &state, GroupOwner &owner, Ticket ticket, Time now)
{
    requeue(owner, ticket, false);
    if (isTransactionStep(owner.requests_.byTicket_.at(ticket).request_)) {
        owner.requests_.transactions_.at(transactionKeyOf(owner.requests_.byTicket_.at(ticket))).busy_ = false;
    }
    owner.pool_.busyUntil_ = now + busyBackoff;
    state.timers_.arm(owner.pool_.busyUntil_, {TimerTopic::OwnerPool, owner.config_.id_, dispatchOnly});
}

void handleResult(ProxyState &state, GroupOwner &owner, Ticket ticket, ConnectionId connection, const UpstreamAnswer &answered, Time now, Effects &out)
{
    const OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
    const TransactionKey transaction = transactionKeyOf(owned);
    const bool endsTransaction = owned.request_.kind_ == RequestKind::Commit && answered.result_ != UpstreamResult::Busy
                                 && answered.result_ != UpstreamResult::WrongTerm && answered.result_ != UpstreamResult::NoTransaction;
    if (endsTransaction) {
        closeTransaction(owner, transaction);
    }
    switch (answered.result_) {
    case UpstreamResult::Done:
        handleDone(state, owner, ticket, connection, answered, now, out);
        return;
    case UpstreamResult::Recorded:
        awaitMajority(state, owner, ticket, answered.point_, doneAnswer(owner, owned, answered), now, out);
        return;
    case UpstreamResult::Cancelled:
        // The tombstone must survive a failover like any write; otherwise a late statement with this key could still run.
        awaitMajority(state, owner, ticket, answered.point_, notRun(ErrorKind::KeyCancelled), now, out);
        return;
    case UpstreamResult::Trimmed:
        finishRequest(state, owner, ticket, unknown(ErrorKind::KeyTrimmed), out);
        return;
    case UpstreamResult::WrongTerm:
        handleWrongTerm(state, owner, ticket, now, out);
        return;
    case UpstreamResult::Busy:
        handleBusy(state, owner, ticket, now);
        return;
    case UpstreamResult::Rejected: {
        Answer answer = notRun(ErrorKind::StatementRejected);
        answer.body_ = answered.body_;
        finishRequest(state, owner, ticket, std::move(answer), out);
        return;
    }
    case UpstreamResult::NoTransaction:
        finishRequest(state, owner, ticket, notRun(ErrorKind::TransactionLost), out);
        abortTransaction(state, owner, transaction, out);
        return;
    }
}

/** Handles the statements in flight on a lost connection, which will not be answered. */
void requeueAfterLoss(ProxyState &state, GroupOwner &owner, ConnectionId connection, Effects &out)
{
    std::vector<SentStatement> lost;
    for (const auto &[id, sent] : owner.requests_.sent_) {
        if (sent.connection_ == connection) {
            lost.push_back(sent);
        }
    }
    std::erase_if(owner.requests_.sent_, [&](const auto &entry) { return entry.second.connection_ == connection; });
    for (const SentStatement &sent : lost) {
        const auto owned = owner.requests_.byTicket_.find(sent.ticket_);
        const bool waits = owned != owner.requests_.byTicket_.end() && owned->second.stage_ == RequestStage::Sent;
        if (waits && !isTransactionStep(owned->second.request_)) {
            requeue(owner, sent.ticket_, owned->second.request_.kind_ != RequestKind::Begin);
        }
    }
    std::vector<TransactionKey> transactions;
    for (const auto &[key, transaction] : owner.requests_.transactions_) {
        if (transaction.connection_ == connection) {
            transactions.push_back(key);
        }
    }
    for (const TransactionKey &key : transactions) {
        abortTransaction(state, owner, key, out);
    }
}

} // namespace

void onUpstreamAnswered(ProxyState &state, const UpstreamAnswered &event, Time now, Effects &out)
{
    GroupOwner *owner = ownerOf(state, event.connection_);
    if (owner == nullptr) {
        return;
    }
    const auto found = owner->requests_.sent_.find(event.answer_.id_);
    if (found == owner->requests_.sent_.end() || found->second.connection_ != event.connection_) {
        return; // A late or duplicate answer: its request has been answered, or was sent again elsewhere.
    }
    const SentStatement sent = found->second;
    owner->requests_.sent_.erase(found);
    const MemberId member = owner->pool_.connections_.at(event.connection_).member_;
    markAnswered(*owner, event.connection_, now);
    recordServiceTime(owner->queue_, now - sent.sentAt_);
    recordSuccess(owner->pool_.circuits_[member]);
    recordStatus(owner->view_, member, event.answer_.status_, sent.sentAt_);
    recordAgeAnswer(owner->ages_, owner->view_, sent.sentAt_, member, event.answer_.status_);
    const auto owned = owner->requests_.byTicket_.find(sent.ticket_);
    const bool waits = owned != owner->requests_.byTicket_.end() && owned->second.statement_ == event.answer_.id_;
    if (waits) {
        handleResult(state, *owner, sent.ticket_, event.connection_, event.answer_, now, out);
    } else if (sent.opensTransaction_) {
        // The Begin's caller stopped waiting for it. If the connection became idle, the next caller's statements would run inside this transaction; closing the
        // connection makes the upstream roll it back.
        closeConnection(state, *owner, event.connection_, out);
    }
    onGroupViewChanged(state, *owner, now, out);
    reviewPrimary(state, *owner, now, out);
}

void onConnectionOpened(ProxyState &state, const ConnectionOpened &event, Time now, Effects & /*out*/)
{
    GroupOwner *owner = ownerOf(state, event.connection_);
    if (owner == nullptr) {
        return;
    }
    PooledConnection &pooled = owner->pool_.connections_.at(event.connection_);
    pooled.use_ = ConnectionUse::Idle;
    pooled.since_ = now;
    requestDispatch(state, *owner);
}

void onConnectionLost(ProxyState &state, const ConnectionLost &event, Time now, Effects &out)
{
    GroupOwner *owner = ownerOf(state, event.connection_);
    if (owner == nullptr) {
        return;
    }
    const std::optional<MemberId> member = removeConnection(state, *owner, event.connection_);
    if (!member) {
        return;
    }
    if (event.end_ == ConnectionEnd::Refused) {
        owner->pool_.refusedUntil_ = now + refusalBackoff;
    } else {
        recordFailure(owner->pool_.circuits_[*member], now, state.random_);
    }
    if (event.end_ != ConnectionEnd::Closed) {
        out.push_back(WriteLog{LogNumber::UpstreamConnectFailed, {{"group", owner->config_.id_.value()}, {"member", member->value()}}});
    }
    requeueAfterLoss(state, *owner, event.connection_, out);
    requestDispatch(state, *owner);
}

} // namespace Figward
