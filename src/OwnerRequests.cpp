#include "OwnerRequests.h"

#include "MemberChoice.h"
#include "OwnerDispatch.h"
#include "OwnerTransactions.h"
#include "ProxyState.h"
#include "SlowStatements.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration maintenanceInterval = std::chrono::milliseconds(100);
constexpr unsigned highestPriority = 0; // For transaction steps, as they hold a connection, and CancelKey requests, as their callers are about to time out.

/** Refuses a forwarded request before it is queued. */
void refuse(ProxyState &state, const RequestOrigin &origin, ErrorKind error, std::optional<Duration> retryAfter, Effects &out)
{
    sendPeer(state, origin.entry_, ForwardAnswer{origin.id_, notRun(error, retryAfter)}, out);
}

unsigned priorityOf(const ProxyState &state, const Request &request)
{
    const bool step = isTransactionStep(request);
    if (step || request.kind_ == RequestKind::CancelKey) {
        return highestPriority;
    }
    const auto service = state.configuration_.services_.find(request.service_);
    if (service == state.configuration_.services_.end()) {
        return highestPriority;
    }
    const auto &classes = service->second.classes_;
    const auto named = std::ranges::find(classes, request.class_, &WorkClass::id_);
    if (named != classes.end()) {
        return named->priority_;
    }
    return classes.empty() ? highestPriority : classes.back().priority_;
}

/** Returns why this owner cannot accept the request, or None. */
ErrorKind checkAcceptable(const ProxyState &state, const GroupOwner *owner, const OwnedRequest &owned)
{
    if (owner == nullptr) {
        return ErrorKind::NotOwner;
    }
    const bool step = isTransactionStep(owned.request_);
    if (step) {
        const auto transaction = owner->requests_.transactions_.find(transactionKeyOf(owned));
        return transaction == owner->requests_.transactions_.end() ? ErrorKind::TransactionLost : ErrorKind::None;
    }
    if (state.drain_.draining_) {
        return ErrorKind::Draining;
    }
    return owner->leaving_ ? ErrorKind::NotOwner : ErrorKind::None;
}

bool isRefusedEarly(const GroupOwner &owner, const Request &request, Time now)
{
    const bool changes = request.kind_ == RequestKind::Write || request.kind_ == RequestKind::Begin;
    const bool step = isTransactionStep(request);
    return changes && !step && expectedWait(owner.requests_.majority_, now) > request.timeout_;
}

void evict(ProxyState &state, GroupOwner &owner, const QueuePlace &place, Duration retryAfter, Effects &out)
{
    const OwnedRequest &evicted = owner.requests_.byTicket_.at(place.ticket_);
    Answer answer = evicted.mayHaveRun_ ? unknown(ErrorKind::QueueFull) : notRun(ErrorKind::QueueFull, retryAfter);
    finishRequest(state, owner, place.ticket_, std::move(answer), out);
}

ErrorKind deadlineError(const GroupOwner &owner, const OwnedRequest &owned)
{
    if (owned.stage_ == RequestStage::AwaitingMajority) {
        return ErrorKind::ReplicasBehind;
    }
    const bool lacksPrimary = owned.stage_ == RequestStage::Queued && !owner.view_.primary_;
    return lacksPrimary ? ErrorKind::NoPrimary : ErrorKind::DeadlineExceeded;
}

/** Retries a request that was in flight at the previous primary. Its key prevents it from running twice. */
void restart(ProxyState &state, GroupOwner &owner, Ticket ticket, Effects &out)
{
    OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
    if (owned.request_.kind_ == RequestKind::Commit) {
        // The transaction was rolled back with its connection, unless the commit took effect; cancelling the key tells which.
        owned.request_.kind_ = RequestKind::CancelKey;
        owned.request_.transaction_ = TransactionId(0);
    }
    const bool step = isTransactionStep(owned.request_);
    if (step) {
        finishRequest(state, owner, ticket, notRun(ErrorKind::TransactionLost), out);
        return;
    }
    requeue(owner, ticket, owned.request_.kind_ != RequestKind::Begin);
}

std::vector<Ticket> unfinishedAtPreviousPrimary(const GroupOwner &owner)
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, owned] : owner.requests_.byTicket_) {
        const bool sentThere = owned.stage_ == RequestStage::Sent && !owned.toReplica_;
        if (sentThere || owned.stage_ == RequestStage::AwaitingMajority) {
            tickets.push_back(ticket);
        }
    }
    return tickets;
}

bool isIdle(const GroupOwner &owner)
{
    return owner.requests_.byTicket_.empty() && owner.requests_.transactions_.empty() && owner.requests_.sent_.empty();
}

/**
 * Whether the request is a step of a transaction begun at a primary of an earlier term than that of the session's token. That primary has been replaced: a read
 * there would lack the session's later writes, and a commit could not be acknowledged.
 */
bool isOutdatedStep(const GroupOwner &owner, const OwnedRequest &owned)
{
    const auto transaction = owner.requests_.transactions_.find(transactionKeyOf(owned));
    if (!isTransactionStep(owned.request_) || transaction == owner.requests_.transactions_.end()) {
        return false;
    }
    const std::optional<LogPoint> after = readRequirementsOf(owned.request_, owner.config_.id_).after_;
    return after && transaction->second.term_ < after->term_;
}

} // namespace

void acceptRequest(ProxyState &state, const PeerMessage &message, const ForwardRequest &forward, Time now, Effects &out)
{
    // Drops the second copy of a message that arrives twice; the first copy is answered. A second copy would begin another transaction or repeat a step. If the
    // queue refused it while the first copy waits there, the entry would report NotRun to its caller although the first copy still runs.
    if (!recordArrival(state.forwardWindows_[message.from_], forward.id_)) {
        return;
    }
    OwnedRequest owned;
    owned.origin_ = {{message.from_, {}, message.fromAddress_, false}, forward.id_};
    owned.request_ = forward.request_;
    owned.acceptedAt_ = now;
    owned.deadline_ = now + forward.request_.timeout_;
    GroupOwner *owner = findOwner(state, forward.request_.group_);
    if (owner != nullptr && isOutdatedStep(*owner, owned)) {
        // The step is refused below because its transaction no longer exists.
        abortTransaction(state, *owner, transactionKeyOf(owned), out);
    }
    const ErrorKind refusal = checkAcceptable(state, owner, owned);
    if (refusal != ErrorKind::None) {
        refuse(state, owned.origin_, refusal, std::nullopt, out);
        return;
    }
    if (isRefusedEarly(*owner, owned.request_, now)) {
        refuse(state, owned.origin_, ErrorKind::ReplicasBehind, expectedWait(owner->requests_.majority_, now), out);
        return;
    }
    const Ticket ticket(allocateId(state));
    owned.place_ = {priorityOf(state, owned.request_), owned.deadline_, ticket};
    const AdmissionVerdict verdict = admit(owner->queue_, owned.place_, state.configuration_.policy_.queueLimit_, usableQuota(*owner, now).slots_, now);
    if (verdict.refusal_ != ErrorKind::None) {
        refuse(state, owned.origin_, verdict.refusal_, verdict.retryAfter_, out);
        return;
    }
    if (verdict.evicted_) {
        evict(state, *owner, *verdict.evicted_, verdict.retryAfter_, out);
    }
    state.timers_.arm(owned.deadline_, {TimerTopic::OwnerDeadline, owner->config_.id_, ticket.value()});
    owner->requests_.byTicket_.emplace(ticket, std::move(owned));
    requestDispatch(state, *owner);
}

void finishRequest(ProxyState &state, GroupOwner &owner, Ticket ticket, Answer answer, Effects &out)
{
    const auto found = owner.requests_.byTicket_.find(ticket);
    if (found == owner.requests_.byTicket_.end()) {
        return;
    }
    const OwnedRequest &owned = found->second;
    owner.queue_.places_.erase(owned.place_);
    if (owned.stage_ == RequestStage::AwaitingMajority) {
        endWait(owner.requests_.majority_, owned.point_, ticket);
    }
    const auto transaction = owner.requests_.transactions_.find(transactionKeyOf(owned));
    if (transaction != owner.requests_.transactions_.end()) {
        transaction->second.busy_ = false;
    }
    sendPeer(state, owned.origin_.entry_, ForwardAnswer{owned.origin_.id_, std::move(answer)}, out);
    owner.requests_.byTicket_.erase(found);
}

void failRequest(ProxyState &state, GroupOwner &owner, Ticket ticket, ErrorKind error, Effects &out)
{
    const OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
    const TransactionKey key = transactionKeyOf(owned);
    const bool neverSent = owned.stage_ == RequestStage::Queued && !owned.mayHaveRun_;
    finishRequest(state, owner, ticket, neverSent ? notRun(error) : unknown(error), out);
    // Without an answer to a step, the state of the transaction is unknown and its caller cannot continue with it.
    abortTransaction(state, owner, key, out);
}

void requeue(GroupOwner &owner, Ticket ticket, bool mayHaveRun)
{
    OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
    if (owned.stage_ == RequestStage::AwaitingMajority) {
        endWait(owner.requests_.majority_, owned.point_, ticket);
    }
    owned.stage_ = RequestStage::Queued;
    owned.mayHaveRun_ = owned.mayHaveRun_ || mayHaveRun;
    owned.statement_ = StatementId(0);
    owner.queue_.places_.insert(owned.place_);
}

void onGroupViewChanged(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    for (const Ticket ticket : takeMajorityHeld(owner, now)) {
        OwnedRequest &owned = owner.requests_.byTicket_.at(ticket);
        owned.stage_ = RequestStage::Sent; // The wait has already been removed; finishRequest() must not end it again.
        Answer answer = std::move(owned.answer_);
        finishRequest(state, owner, ticket, std::move(answer), out);
    }
    requestDispatch(state, owner);
}

void onPrimaryChanged(ProxyState &state, GroupOwner &owner, Time /*now*/, Effects &out)
{
    std::vector<TransactionKey> lost;
    for (const auto &[key, transaction] : owner.requests_.transactions_) {
        if (transaction.term_ != owner.view_.term_ || owner.view_.primary_ != transaction.member_) {
            lost.push_back(key);
        }
    }
    for (const Ticket ticket : unfinishedAtPreviousPrimary(owner)) {
        const auto sent = owner.requests_.sent_.find(owner.requests_.byTicket_.at(ticket).statement_);
        if (sent != owner.requests_.sent_.end()) {
            closeConnection(state, owner, sent->second.connection_, out);
            owner.requests_.sent_.erase(sent);
        }
        restart(state, owner, ticket, out);
    }
    for (const TransactionKey &key : lost) {
        abortTransaction(state, owner, key, out);
    }
    requestDispatch(state, owner);
}

void onOwnerDeadline(ProxyState &state, const TimerTag &tag, Time /*now*/, Effects &out)
{
    GroupOwner *owner = findOwner(state, tag.group_);
    const Ticket ticket(tag.key_);
    if (owner == nullptr || !owner->requests_.byTicket_.contains(ticket)) {
        return;
    }
    failRequest(state, *owner, ticket, deadlineError(*owner, owner->requests_.byTicket_.at(ticket)), out);
}

void onOwnerPoolTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    GroupOwner *owner = findOwner(state, tag.group_);
    if (owner == nullptr) {
        return;
    }
    requestDispatch(state, *owner);
    const bool regular = tag.key_ == 0;
    if (!regular) {
        return;
    }
    handleSlowStatements(state, *owner, now, out);
    abortIdleTransactions(state, *owner, now, out);
    maintainConnections(state, *owner, now, out);
    if (owner->leaving_ && isIdle(*owner)) {
        while (!owner->pool_.connections_.empty()) {
            closeConnection(state, *owner, owner->pool_.connections_.begin()->first, out);
        }
        state.owners_.erase(tag.group_);
        return;
    }
    state.timers_.arm(now + maintenanceInterval, {TimerTopic::OwnerPool, tag.group_, 0});
}

void startOwnerRequests(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    maintainConnections(state, owner, now, out);
    state.timers_.arm(now + maintenanceInterval, {TimerTopic::OwnerPool, owner.config_.id_, 0});
}

} // namespace Figward
