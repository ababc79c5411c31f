#include "OwnerTransactions.h"

#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

// Longer than a caller usually pauses between two steps, and short enough to limit how long a failed entry proxy occupies a scarce connection.
constexpr Duration idleTimeout = std::chrono::seconds(10);

} // namespace

void openTransaction(GroupOwner &owner, const OwnedRequest &begin, ConnectionId connection, Time now)
{
    PooledConnection &pooled = owner.pool_.connections_.at(connection);
    pooled.pinned_ = true;
    pooled.use_ = ConnectionUse::Pinned;
    owner.requests_.transactions_[transactionKeyOf(begin)] = {.connection_ = connection, .member_ = pooled.member_, .term_ = owner.view_.term_, .usedAt_ = now};
}

void closeTransaction(GroupOwner &owner, const TransactionKey &key)
{
    const auto found = owner.requests_.transactions_.find(key);
    if (found == owner.requests_.transactions_.end()) {
        return;
    }
    const auto pooled = owner.pool_.connections_.find(found->second.connection_);
    if (pooled != owner.pool_.connections_.end()) {
        pooled->second.pinned_ = false;
        pooled->second.use_ = ConnectionUse::Idle;
    }
    owner.requests_.transactions_.erase(found);
}

void abortTransaction(ProxyState &state, GroupOwner &owner, const TransactionKey &key, Effects &out)
{
    const auto found = owner.requests_.transactions_.find(key);
    if (found == owner.requests_.transactions_.end()) {
        return;
    }
    const ConnectionId connection = found->second.connection_;
    owner.requests_.transactions_.erase(found);
    std::erase_if(owner.requests_.sent_, [&](const auto &entry) { return entry.second.connection_ == connection; });
    closeConnection(state, owner, connection, out);
    std::vector<Ticket> steps;
    for (const auto &[ticket, owned] : owner.requests_.byTicket_) {
        if (transactionKeyOf(owned) == key) {
            steps.push_back(ticket);
        }
    }
    for (const Ticket ticket : steps) {
        const OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
        const bool commitSent = owned.request_.kind_ == RequestKind::Commit && owned.stage_ != RequestStage::Queued;
        finishRequest(state, owner, ticket, commitSent ? unknown(ErrorKind::UpstreamFailed) : notRun(ErrorKind::TransactionLost), out);
    }
}

void onAbandonTransaction(ProxyState &state, const PeerMessage &message, const AbandonTransaction &abandon, Effects &out)
{
    const TransactionKey key{message.from_, abandon.transaction_};
    for (auto &[group, owner] : state.owners_) {
        abortTransaction(state, owner, key, out);
        // The Begin may still be queued or in flight here; unless it is ended too, its transaction would open although abandoned.
        std::vector<Ticket> begins;
        for (const auto &[ticket, owned] : owner.requests_.byTicket_) {
            if (transactionKeyOf(owned) == key) {
                begins.push_back(ticket);
            }
        }
        for (const Ticket ticket : begins) {
            finishRequest(state, owner, ticket, notRun(ErrorKind::TransactionLost), out);
        }
    }
}

void abortIdleTransactions(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    std::vector<TransactionKey> idle;
    for (const auto &[key, transaction] : owner.requests_.transactions_) {
        if (!transaction.busy_ && now - transaction.usedAt_ > idleTimeout) {
            idle.push_back(key);
        }
    }
    for (const TransactionKey &key : idle) {
        abortTransaction(state, owner, key, out);
    }
}

TransactionKey transactionKeyOf(const OwnedRequest &request)
{
    return {request.origin_.entry_.id_, request.request_.transaction_};
}

} // namespace Figward
