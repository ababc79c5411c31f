#include "OwnerDispatch.h"

#include "MemberChoice.h"
#include "OwnerTransactions.h"
#include "ProxyState.h"

#include <algorithm>
#include <set>

namespace Figward {

namespace {

constexpr Duration maxReplicaWait = std::chrono::milliseconds(20);
constexpr Duration confirmInterval = std::chrono::milliseconds(10);
constexpr int replicaWaitDivisor = 4; // A read waits for a replica for at most a quarter of its timeout.

/** Member and connection that a request can be sent to now. */
struct Target
{
    MemberId member_;
    std::optional<ConnectionId> pinned_; ///< Connection of the request's transaction.
    bool replica_ = false;
};

std::optional<Target> stepTarget(const GroupOwner &owner, const OwnedRequest &owned)
{
    const auto transaction = owner.requests_.transactions_.find(transactionKeyOf(owned));
    if (transaction == owner.requests_.transactions_.end() || transaction->second.busy_) {
        return std::nullopt;
    }
    return Target{transaction->second.member_, transaction->second.connection_, false};
}

/** Probes all members for a read with a staleness bound, which may be waiting only for a majority to confirm the primary; a round can do that at once. */
void probeForConfirmation(ProxyState &state, GroupOwner &owner, const ReadRequirements &requirements, Time now, Effects &out)
{
    if (requirements.maxStaleness_ && now - owner.probes_.lastRoundAt_ >= confirmInterval) {
        probeRound(state, owner, now, out);
    }
}

std::optional<Target> readTarget(ProxyState &state, GroupOwner &owner, Ticket ticket, OwnedRequest &owned, Time now, Effects &out)
{
    const Duration replicaWait = std::min(maxReplicaWait, owned.request_.timeout_ / replicaWaitDivisor);
    const Time replicaWaitEnds = owned.acceptedAt_ + replicaWait;
    const ReadRequirements requirements = readRequirementsOf(owned.request_, owner.config_.id_);
    if (requirements.maxStaleness_) {
        recordRequestedStaleness(state, owner, *requirements.maxStaleness_, now);
    }
    const MemberChoice choice = chooseForRead(owner, requirements, state.identity_.self_.zone_, now, now < replicaWaitEnds);
    switch (choice.step_) {
    case ReadStep::UseReplica:
        return Target{choice.member_, std::nullopt, true};
    case ReadStep::UsePrimary:
        return Target{choice.member_, std::nullopt, false};
    case ReadStep::Wait:
        if (!owned.waitedForReplica_) {
            owned.waitedForReplica_ = true;
            state.timers_.arm(replicaWaitEnds, {TimerTopic::OwnerPool, owner.config_.id_, ticket.value()});
        }
        pollPositions(state, owner, now, out);
        return std::nullopt;
    case ReadStep::Unserved:
        probeForConfirmation(state, owner, requirements, now, out);
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<Target> targetOf(ProxyState &state, GroupOwner &owner, Ticket ticket, OwnedRequest &owned, Time now, Effects &out)
{
    if (isTransactionStep(owned.request_)) {
        return stepTarget(owner, owned);
    }
    if (owned.request_.kind_ == RequestKind::Read) {
        return readTarget(state, owner, ticket, owned, now, out);
    }
    const std::optional<MemberId> primary = usablePrimary(owner, now);
    return primary ? std::optional(Target{*primary, std::nullopt, false}) : std::nullopt;
}

UpstreamStatement statementFor(const GroupOwner &owner, const OwnedRequest &owned, StatementId id)
{
    UpstreamStatement statement;
    statement.id_ = id;
    statement.kind_ = owned.request_.kind_;
    // A read at the primary requires the term as well, so that a replaced primary does not answer it.
    statement.requiredTerm_ = owned.toReplica_ ? Term(0) : owner.view_.term_;
    statement.key_ = owned.request_.key_;
    statement.acknowledgedBelow_ = owned.request_.acknowledgedBelow_;
    statement.body_ = owned.request_.body_;
    return statement;
}

void send(ProxyState &state, GroupOwner &owner, Ticket ticket, OwnedRequest &owned, const Target &target, ConnectionId connection, Time now, Effects &out)
{
    const StatementId id(allocateId(state));
    owned.stage_ = RequestStage::Sent;
    owned.statement_ = id;
    owned.member_ = target.member_;
    owned.toReplica_ = target.replica_;
    owner.requests_.sent_[id] = {connection, ticket, now, owned.request_.kind_ == RequestKind::Begin};
    markBusy(owner, connection, now);
    if (isTransactionStep(owned.request_)) {
        OwnedTransaction &transaction = owner.requests_.transactions_.at(transactionKeyOf(owned));
        transaction.busy_ = true;
        transaction.usedAt_ = now;
    }
    out.push_back(SendStatement{connection, statementFor(owner, owned, id)});
}

bool slotsLeft(const GroupOwner &owner, Time now)
{
    return now >= owner.pool_.busyUntil_ && slotsInUse(owner) < usableQuota(owner, now).slots_.value();
}

} // namespace

void dispatch(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    std::set<MemberId> withoutConnection;
    // In this loop, the number of free slots changes only when a statement is sent. Recounting it for every request that stays queued would take most of an
    // owner's CPU time under load.
    bool slotAvailable = slotsLeft(owner, now);
    auto place = owner.queue_.places_.begin();
    while (place != owner.queue_.places_.end() && slotAvailable) {
        const Ticket ticket = place->ticket_;
        OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
        const std::optional<Target> target = targetOf(state, owner, ticket, owned, now, out);
        if (!target || withoutConnection.contains(target->member_)) {
            ++place;
            continue;
        }
        const std::optional<ConnectionId> connection = target->pinned_ ? target->pinned_ : takeConnection(state, owner, target->member_, now, out);
        if (!connection) {
            withoutConnection.insert(target->member_);
            ++place;
            continue;
        }
        place = owner.queue_.places_.erase(place);
        send(state, owner, ticket, owned, *target, *connection, now, out);
        slotAvailable = slotsLeft(owner, now);
    }
    if (!owner.queue_.places_.empty() && !slotAvailable) {
        onQuotaShortage(state, owner, now, out);
    }
}

void requestDispatch(ProxyState &state, const GroupOwner &owner)
{
    state.groupsToDispatch_.insert(owner.config_.id_);
}

} // namespace Figward
