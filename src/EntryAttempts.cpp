#include "EntryAttempts.h"

#include "EntryChecks.h"
#include "ProxyState.h"

#include <algorithm>
#include <tuple>

namespace Figward {

namespace {

constexpr Duration avoidAfterLoss = std::chrono::seconds(1);
constexpr Duration avoidAfterSilence = std::chrono::milliseconds(500);
constexpr Duration shortestAttempt = std::chrono::milliseconds(2);
constexpr Duration roundPause = std::chrono::milliseconds(20);
constexpr int answerMargin = 10; // The owner gives up a tenth of the attempt earlier than the entry, so that its answer arrives in time.
constexpr int attemptShare = 2; // An attempt may use half of the time that is left.
constexpr int cancelShare = 4; // With a quarter of the time left, learning the outcome goes before another try.

bool isAvoided(const ProxyState &state, const VmInfo &vm, Time now)
{
    const auto avoided = state.entry_.avoided_.find(vm.address_);
    return avoided != state.entry_.avoided_.end() && now < avoided->second;
}

/** Owners in the order in which they are tried: reachable ones first, then this proxy, its zone, and rank. */
std::vector<VmInfo> ownersByPreference(const ProxyState &state, const GroupId &group, Time now)
{
    std::vector<VmInfo> owners = ownersOf(state, group);
    const VmInfo &self = state.identity_.self_;
    const auto cost = [&](const VmInfo &vm) { return std::make_tuple(isAvoided(state, vm, now), vm.id_ != self.id_, vm.zone_ != self.zone_); };
    std::ranges::stable_sort(owners, {}, cost);
    return owners;
}

std::optional<VmInfo> nextOwner(const ProxyState &state, const EntryRequest &asked, Time now)
{
    const bool pinned = isTransactionStep(asked.request_) && !asked.cancelling_;
    if (pinned) {
        const auto transaction = state.entry_.transactions_.find(asked.request_.transaction_);
        return transaction == state.entry_.transactions_.end() ? std::nullopt : std::optional(transaction->second.owner_);
    }
    for (const VmInfo &owner : ownersByPreference(state, asked.request_.group_, now)) {
        if (std::ranges::find(asked.tried_, owner.id_) == asked.tried_.end()) {
            return owner;
        }
    }
    return std::nullopt;
}

void waitForNextRound(ProxyState &state, RequestId id, EntryRequest &asked, Time now)
{
    asked.tried_.clear();
    const auto jitter = Duration(static_cast<std::int64_t>(state.random_() % static_cast<std::uint64_t>(roundPause.count())));
    asked.attemptEnds_ = now + roundPause + jitter;
    state.timers_.arm(asked.attemptEnds_, {TimerTopic::EntryDeadline, {}, id.value()});
}

Request attemptedRequest(const EntryRequest &asked, Duration allowed)
{
    Request request = asked.request_;
    request.timeout_ = allowed - allowed / answerMargin;
    if (request.kind_ == RequestKind::Begin) {
        request.transaction_ = asked.beginning_;
    }
    if (asked.cancelling_) {
        request.kind_ = RequestKind::CancelKey;
        request.transaction_ = TransactionId(0);
        request.body_.clear();
    }
    return request;
}

void sendAttempt(ProxyState &state, RequestId id, EntryRequest &asked, const VmInfo &owner, Time now, Effects &out)
{
    const Duration left = asked.deadline_ - now;
    const bool mayRepeat = !isTransactionStep(asked.request_) || asked.request_.kind_ == RequestKind::Commit;
    const Duration allowed = mayRepeat ? std::max(shortestAttempt, left / attemptShare) : left;
    asked.owner_ = owner;
    asked.tried_.push_back(owner.id_);
    asked.attempting_ = true;
    asked.attempt_ = RequestId(takeId(state));
    asked.attemptEnds_ = now + allowed;
    asked.attempts_.push_back(asked.attempt_);
    state.entry_.attempts_[asked.attempt_] = {id, owner.id_};
    state.timers_.arm(asked.attemptEnds_, {TimerTopic::EntryDeadline, {}, id.value()});
    sendPeer(state, owner, ForwardRequest{asked.attempt_, attemptedRequest(asked, allowed)}, out);
}

/** Whether time is so short that the outcome of earlier attempts matters more than another one. */
bool shouldCancel(const EntryRequest &asked, Time now)
{
    const bool open = asked.mayHaveRun_ && asked.request_.key_.has_value();
    return open && asked.deadline_ - now < asked.request_.timeout_ / cancelShare;
}

/** The owner did not answer in time, or cannot be reached: what it was asked may have run. */
void loseAttempt(ProxyState &state, RequestId id, Time now, Effects &out)
{
    EntryRequest &asked = state.entry_.requests_.at(id);
    const VmInfo owner = asked.owner_;
    asked.attempting_ = false;
    const bool commit = asked.request_.kind_ == RequestKind::Commit;
    if (isTransactionStep(asked.request_) && !asked.cancelling_) {
        endEntryTransaction(state, asked.request_.transaction_, !commit, out);
        if (!commit) {
            concludeRequest(state, id, notRun(ErrorKind::TransactionLost, retryAdvice(ErrorKind::TransactionLost)), out);
            return;
        }
    }
    if (asked.request_.kind_ == RequestKind::Begin) {
        sendPeer(state, owner, AbandonTransaction{asked.beginning_}, out);
    }
    asked.mayHaveRun_ = asked.mayHaveRun_ || asked.request_.kind_ != RequestKind::Begin;
    asked.lastError_ = ErrorKind::NoOwner;
    if (commit && !asked.cancelling_) {
        cancelKey(state, id, now, out);
        return;
    }
    retryRequest(state, id, now, out);
}

} // namespace

void attemptRequest(ProxyState &state, RequestId id, Time now, Effects &out)
{
    EntryRequest &asked = state.entry_.requests_.at(id);
    if (asked.deadline_ - now < shortestAttempt) {
        concludeFailed(state, id, out);
        return;
    }
    if (!asked.cancelling_ && shouldCancel(asked, now)) {
        asked.cancelling_ = true;
        asked.tried_.clear();
    }
    const std::optional<VmInfo> owner = nextOwner(state, asked, now);
    if (owner) {
        sendAttempt(state, id, asked, *owner, now, out);
        return;
    }
    const bool hopeless = asked.tried_.empty();
    if (hopeless) {
        concludeFailed(state, id, out);
        return;
    }
    waitForNextRound(state, id, asked, now);
}

void retryRequest(ProxyState &state, RequestId id, Time now, Effects &out)
{
    EntryRequest &asked = state.entry_.requests_.at(id);
    // Being sent on by one that never touched the request costs the group nothing and needs no budget.
    const bool free = asked.lastError_ == ErrorKind::NotOwner || asked.lastError_ == ErrorKind::Draining || asked.cancelling_;
    if (free || spendRetry(state.entry_.budget_)) {
        attemptRequest(state, id, now, out);
        return;
    }
    asked.lastError_ = ErrorKind::RetryBudgetSpent;
    if (asked.mayHaveRun_) {
        cancelKey(state, id, now, out);
        return;
    }
    concludeFailed(state, id, out);
}

void cancelKey(ProxyState &state, RequestId id, Time now, Effects &out)
{
    EntryRequest &asked = state.entry_.requests_.at(id);
    asked.mayHaveRun_ = true;
    if (!asked.request_.key_) {
        concludeFailed(state, id, out); // A read, or a write that may repeat: there is no key that could tell.
        return;
    }
    asked.cancelling_ = true;
    asked.tried_.clear();
    attemptRequest(state, id, now, out);
}

void concludeRequest(ProxyState &state, RequestId id, Answer answer, Effects &out)
{
    const auto found = state.entry_.requests_.find(id);
    EntryRequest &asked = found->second;
    for (const RequestId attempt : asked.attempts_) {
        state.entry_.attempts_.erase(attempt);
    }
    const auto transaction = state.entry_.transactions_.find(asked.request_.transaction_);
    if (transaction != state.entry_.transactions_.end()) {
        transaction->second.busy_ = false;
    }
    const bool begun = asked.request_.kind_ == RequestKind::Begin && answer.outcome_ == Outcome::Done;
    answer.transaction_ = begun ? asked.beginning_ : TransactionId(0);
    merge(answer.token_, asked.request_.token_);
    if (answer.outcome_ != Outcome::Done && !answer.retryAfter_) {
        answer.retryAfter_ = retryAdvice(answer.error_);
    }
    if (answer.outcome_ == Outcome::Unknown) {
        out.push_back(
            WriteLog{LogNumber::RequestUnknown,
                     {{"group", asked.request_.group_.value()}, {"error", std::string(toString(answer.error_))}, {"request", std::to_string(id.value())}}});
    }
    state.entry_.requests_.erase(found);
    out.push_back(AnswerCaller{id, std::move(answer)});
}

void concludeFailed(ProxyState &state, RequestId id, Effects &out)
{
    EntryRequest &asked = state.entry_.requests_.at(id);
    const bool open = asked.mayHaveRun_ || (asked.attempting_ && asked.request_.kind_ != RequestKind::Begin);
    concludeRequest(state, id, open ? unknown(asked.lastError_) : notRun(asked.lastError_), out);
}

void endEntryTransaction(ProxyState &state, TransactionId transaction, bool abandon, Effects &out)
{
    const auto found = state.entry_.transactions_.find(transaction);
    if (found == state.entry_.transactions_.end()) {
        return;
    }
    if (abandon) {
        sendPeer(state, found->second.owner_, AbandonTransaction{transaction}, out);
    }
    state.entry_.transactions_.erase(found);
}

void onPeerLost(ProxyState &state, const PeerLost &event, Time now, Effects &out)
{
    state.entry_.avoided_[event.address_] = now + avoidAfterLoss;
    std::vector<RequestId> lost;
    for (const auto &[id, asked] : state.entry_.requests_) {
        if (asked.attempting_ && asked.owner_.address_ == event.address_) {
            lost.push_back(id);
        }
    }
    for (const RequestId id : lost) {
        loseAttempt(state, id, now, out);
    }
}

void onEntryTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    const RequestId id(tag.key_);
    const auto found = state.entry_.requests_.find(id);
    if (found == state.entry_.requests_.end()) {
        return;
    }
    EntryRequest &asked = found->second;
    if (now >= asked.deadline_) {
        const bool step = isTransactionStep(asked.request_) && asked.request_.kind_ != RequestKind::Commit;
        if (step && !asked.cancelling_) {
            loseAttempt(state, id, now, out);
            return;
        }
        concludeFailed(state, id, out);
        return;
    }
    if (now < asked.attemptEnds_) {
        return;
    }
    if (!asked.attempting_) {
        attemptRequest(state, id, now, out);
        return;
    }
    state.entry_.avoided_[asked.owner_.address_] = now + avoidAfterSilence;
    loseAttempt(state, id, now, out);
}

} // namespace Figward
