#include "OwnerAnswers.h"

#include "MemberChoice.h"
#include "OwnerDispatch.h"
#include "OwnerTransactions.h"
#include "ProxyState.h"

namespace Figward {

namespace {

constexpr Duration refusalBackoff = std::chrono::milliseconds(100);
constexpr Duration busyBackoff = std::chrono::milliseconds(1);
constexpr std::uint64_t onlyDispatch = 1; // Key of an OwnerPool timer that does nothing but dispatch.

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

/** The answer stands only once a majority holds \p point. */
void awaitMajority(ProxyState &state, GroupOwner &owner, Ticket ticket, LogPoint point, Answer answer, Time now, Effects &out)
{
    OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
    owned.stage_ = RequestStage::AwaitingMajority;
    owned.point_ = point;
    owned.answer_ = std::move(answer);
    beginWait(owner.requests_.majority_, point, ticket, now);
    pollPositions(state, owner, now, out);
}

/** Whether the member that answered a read may have served it: its log may have been cut, or its term may have ended, since it was chosen. */
bool readStands(const GroupOwner &owner, const OwnedRequest &owned, const UpstreamAnswer &answered)
{
    const ReadNeeds needs = needsOf(owned.request_, owner.config_.id_);
    if (!needs.after_) {
        return true;
    }
    return owned.toReplica_ ? contains(answered.status_, *needs.after_) : answered.status_.log_.term_ >= needs.after_->term_;
}

void takeDone(ProxyState &state, GroupOwner &owner, Ticket ticket, ConnectionId connection, const UpstreamAnswer &answered, Time now, Effects &out)
{
    OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
    Answer answer = doneAnswer(owner, owned, answered);
    const bool step = isTransactionStep(owned.request_);
    switch (owned.request_.kind_) {
    case RequestKind::Read:
        if (!step && !readStands(owner, owned, answered)) {
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
            // Nothing of it is in the log before the commit, so the session has not seen a new point.
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

/** The member is not, or not any more, primary of the term that the owner believes in. */
void takeWrongTerm(ProxyState &state, GroupOwner &owner, Ticket ticket, Time now, Effects &out)
{
    const OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
    const bool believedPrimary = owner.view_.primary_ == owned.member_;
    if (isTransactionStep(owned.request_)) {
        const TransactionKey key = transactionKeyOf(owned);
        finishRequest(state, owner, ticket, notRun(ErrorKind::TransactionLost), out);
        loseTransaction(state, owner, key, out);
    } else {
        requeue(owner, ticket, false);
    }
    if (believedPrimary) {
        // Without this the same statement would go to the same member again at once, for ever.
        owner.view_.primary_.reset();
        onPrimaryChanged(state, owner, now, out);
    }
}

void takeBusy(ProxyState &state, GroupOwner &owner, Ticket ticket, Time now)
{
    requeue(owner, ticket, false);
    if (isTransactionStep(owner.requests_.byTicket_.at(ticket).request_)) {
        owner.requests_.transactions_.at(transactionKeyOf(owner.requests_.byTicket_.at(ticket))).busy_ = false;
    }
    owner.pool_.busyUntil_ = now + busyBackoff;
    state.timers_.arm(owner.pool_.busyUntil_, {TimerTopic::OwnerPool, owner.config_.id_, onlyDispatch});
}

void takeResult(ProxyState &state, GroupOwner &owner, Ticket ticket, ConnectionId connection, const UpstreamAnswer &answered, Time now, Effects &out)
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
        takeDone(state, owner, ticket, connection, answered, now, out);
        return;
    case UpstreamResult::Recorded:
        awaitMajority(state, owner, ticket, answered.point_, doneAnswer(owner, owned, answered), now, out);
        return;
    case UpstreamResult::Cancelled:
        // The tombstone must outlive a failover like any write, or a late statement with this key could still run.
        awaitMajority(state, owner, ticket, answered.point_, notRun(ErrorKind::KeyCancelled), now, out);
        return;
    case UpstreamResult::Trimmed:
        finishRequest(state, owner, ticket, unknown(ErrorKind::KeyTrimmed), out);
        return;
    case UpstreamResult::WrongTerm:
        takeWrongTerm(state, owner, ticket, now, out);
        return;
    case UpstreamResult::Busy:
        takeBusy(state, owner, ticket, now);
        return;
    case UpstreamResult::Rejected: {
        Answer answer = notRun(ErrorKind::StatementRejected);
        answer.body_ = answered.body_;
        finishRequest(state, owner, ticket, std::move(answer), out);
        return;
    }
    case UpstreamResult::NoTransaction:
        finishRequest(state, owner, ticket, notRun(ErrorKind::TransactionLost), out);
        loseTransaction(state, owner, transaction, out);
        return;
    }
}

/** The statements that were under way on a connection that is gone: their answers will never come. */
void restartAfterLoss(ProxyState &state, GroupOwner &owner, ConnectionId connection, Effects &out)
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
        loseTransaction(state, owner, key, out);
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
        return; // Late or doubled: its request has had its answer, or was sent again elsewhere.
    }
    const SentStatement sent = found->second;
    owner->requests_.sent_.erase(found);
    const MemberId member = owner->pool_.connections_.at(event.connection_).member_;
    markAnswered(*owner, event.connection_, now);
    noteServiceTime(owner->queue_, now - sent.sentAt_);
    noteSuccess(owner->pool_.circuits_[member]);
    noteStatus(owner->view_, member, event.answer_.status_, sent.sentAt_);
    noteAgeAnswer(owner->ages_, owner->view_, sent.sentAt_, member, event.answer_.status_);
    const auto owned = owner->requests_.byTicket_.find(sent.ticket_);
    const bool waits = owned != owner->requests_.byTicket_.end() && owned->second.statement_ == event.answer_.id_;
    if (waits) {
        takeResult(state, *owner, sent.ticket_, event.connection_, event.answer_, now, out);
    } else if (sent.opensTransaction_) {
        // Its caller gave up while Begin was under way. Put back among the idle ones, the connection would run the next caller's statements
        // inside this transaction; closed, the upstream rolls it back.
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
    wantDispatch(state, *owner);
}

void onConnectionLost(ProxyState &state, const ConnectionLost &event, Time now, Effects &out)
{
    GroupOwner *owner = ownerOf(state, event.connection_);
    if (owner == nullptr) {
        return;
    }
    const std::optional<MemberId> member = forgetConnection(state, *owner, event.connection_);
    if (!member) {
        return;
    }
    if (event.end_ == ConnectionEnd::Refused) {
        owner->pool_.refusedUntil_ = now + refusalBackoff;
    } else {
        noteFailure(owner->pool_.circuits_[*member], now, state.random_);
    }
    if (event.end_ != ConnectionEnd::Closed) {
        out.push_back(WriteLog{LogNumber::UpstreamConnectFailed, {{"group", owner->config_.id_.value()}, {"member", member->value()}}});
    }
    restartAfterLoss(state, *owner, event.connection_, out);
    wantDispatch(state, *owner);
}

} // namespace Figward
