#include "Entry.h"

#include "EntryAttempts.h"
#include "EntryChecks.h"
#include "ProxyState.h"

namespace Figward {

namespace {

/** Whether another owner, or the same owner shortly afterwards, may accept a request refused with \p error. */
bool isRetryable(ErrorKind error)
{
    switch (error) {
    case ErrorKind::Draining:
    case ErrorKind::NotOwner:
    case ErrorKind::NoOwner:
    case ErrorKind::NoPrimary:
    case ErrorKind::UpstreamFailed:
    case ErrorKind::UpstreamRefused:
    case ErrorKind::DeadlineExceeded: // The timeout of the attempt, not of the request.
        return true;
    default:
        return false;
    }
}

bool isRepeated(const Request &request)
{
    return request.repeated_ && request.key_;
}

/** Handles the answer to a step of a transaction. Any failure other than a rejected statement ends the transaction. */
void handleStepAnswer(ProxyState &state, RequestId id, const Answer &answer, Time now, Effects &out)
{
    EntryRequest &pending = state.entry_.requests_.at(id);
    const bool ends = pending.request_.kind_ == RequestKind::Commit || pending.request_.kind_ == RequestKind::Rollback;
    const bool survives = answer.outcome_ == Outcome::Done || answer.error_ == ErrorKind::StatementRejected;
    if (survives && !ends) {
        concludeRequest(state, id, answer, out);
        return;
    }
    const TransactionId transaction = pending.request_.transaction_;
    if (pending.request_.kind_ == RequestKind::Commit && answer.outcome_ == Outcome::Unknown) {
        endEntryTransaction(state, transaction, false, out);
        cancelKey(state, id, now, out);
        return;
    }
    endEntryTransaction(state, transaction, !survives, out);
    // The commit has not been sent and will not be, so no statement of the transaction can take effect, whether or not this step ran.
    const bool provenNotRun = answer.outcome_ == Outcome::Unknown;
    concludeRequest(state, id, provenNotRun ? notRun(ErrorKind::TransactionLost) : answer, out);
}

/** Handles the answer to a CancelKey request, which decides the outcome of a request that may have run. */
void handleCancelAnswer(ProxyState &state, RequestId id, Answer answer, Time now, Effects &out)
{
    EntryRequest &pending = state.entry_.requests_.at(id);
    const bool settled = answer.outcome_ == Outcome::Done || answer.error_ == ErrorKind::KeyCancelled || answer.error_ == ErrorKind::KeyTrimmed;
    if (!settled) {
        attemptRequest(state, id, now, out);
        return;
    }
    if (answer.error_ == ErrorKind::KeyCancelled) {
        answer.error_ = pending.lastError_;
    }
    concludeRequest(state, id, std::move(answer), out);
}

void handleRefusal(ProxyState &state, RequestId id, const Answer &answer, Time now, Effects &out)
{
    EntryRequest &pending = state.entry_.requests_.at(id);
    pending.lastError_ = answer.error_;
    if (isRetryable(answer.error_)) {
        retryRequest(state, id, now, out);
        return;
    }
    const bool provenNotRun = !pending.mayHaveRun_ || answer.error_ == ErrorKind::KeyCancelled;
    if (provenNotRun) {
        concludeRequest(state, id, answer, out);
        return;
    }
    // This attempt did not run, but an earlier one may have; only its idempotency key can tell.
    cancelKey(state, id, now, out);
}

void handleAnswer(ProxyState &state, RequestId id, const Answer &answer, Time now, Effects &out)
{
    EntryRequest &pending = state.entry_.requests_.at(id);
    switch (answer.outcome_) {
    case Outcome::Done:
        if (pending.request_.kind_ == RequestKind::Begin) {
            state.entry_.transactions_[pending.openedTransaction_] = {pending.request_.group_, pending.owner_, false};
        }
        concludeRequest(state, id, answer, out);
        return;
    case Outcome::NotRun:
        handleRefusal(state, id, answer, now, out);
        return;
    case Outcome::Unknown:
        pending.lastError_ = answer.error_;
        if (pending.request_.kind_ == RequestKind::Begin) {
            // Abandoning the transaction rolls it back if this attempt opened it, so that it cannot take effect.
            sendPeer(state, pending.owner_, AbandonTransaction{pending.openedTransaction_}, out);
            retryRequest(state, id, now, out);
            return;
        }
        pending.mayHaveRun_ = true;
        if (answer.error_ == ErrorKind::KeyTrimmed) {
            concludeRequest(state, id, answer, out);
            return;
        }
        retryRequest(state, id, now, out);
        return;
    }
}

/**
 * Handles the answer to an attempt that is no longer the current one. Done and KeyCancelled are final whichever attempt reports them; any other refusal holds
 * only for the attempt that received it.
 */
void handleLateAnswer(ProxyState &state, RequestId id, Answer answer, Effects &out)
{
    const EntryRequest &pending = state.entry_.requests_.at(id);
    const bool boundToOwner = pending.request_.kind_ == RequestKind::Begin || isTransactionStep(pending.request_);
    const bool settled = answer.outcome_ == Outcome::Done || answer.error_ == ErrorKind::KeyCancelled;
    if (boundToOwner || !settled) {
        return;
    }
    if (answer.error_ == ErrorKind::KeyCancelled) {
        answer.error_ = pending.lastError_;
    }
    concludeRequest(state, id, std::move(answer), out);
}

} // namespace

void onCallerAsked(ProxyState &state, const CallerAsked &event, Time now, Effects &out)
{
    const ErrorKind refusal = checkRequest(state, event.request_, now);
    if (refusal != ErrorKind::None) {
        // Refusing a repeated request here does not tell whether the caller's earlier request ran.
        Answer answer = isRepeated(event.request_) ? unknown(refusal) : notRun(refusal);
        answer.retryAfter_ = suggestedRetryDelay(refusal);
        answer.token_ = event.request_.token_;
        out.push_back(AnswerCaller{event.id_, std::move(answer)});
        return;
    }
    addRetryTokens(state.entry_.budget_, state.configuration_.policy_.retryBudgetPercent_);
    EntryRequest &pending = state.entry_.requests_[event.id_];
    pending.request_ = event.request_;
    pending.deadline_ = now + event.request_.timeout_;
    pending.mayHaveRun_ = isRepeated(event.request_);
    if (pending.request_.kind_ == RequestKind::Begin) {
        pending.openedTransaction_ = TransactionId(allocateId(state));
    }
    if (isTransactionStep(pending.request_)) {
        state.entry_.transactions_.at(pending.request_.transaction_).busy_ = true;
    }
    state.timers_.arm(pending.deadline_, {TimerTopic::EntryDeadline, {}, event.id_.value()});
    attemptRequest(state, event.id_, now, out);
}

void onCallerGone(ProxyState &state, const CallerGone &event, Time /*now*/, Effects &out)
{
    const auto transaction = state.entry_.transactions_.find(event.transaction_);
    if (transaction == state.entry_.transactions_.end()) {
        return;
    }
    // A commit in flight is not aborted: its outcome is recorded under its key, where the caller can query it when it reconnects.
    const bool committing = std::ranges::any_of(state.entry_.requests_, [&](const auto &entry) {
        return entry.second.request_.transaction_ == event.transaction_ && entry.second.request_.kind_ == RequestKind::Commit;
    });
    if (!committing) {
        endEntryTransaction(state, event.transaction_, true, out);
    }
}

void onForwardAnswer(ProxyState &state, const PeerMessage &message, const ForwardAnswer &answer, Time now, Effects &out)
{
    const auto attempt = state.entry_.attempts_.find(answer.id_);
    if (attempt == state.entry_.attempts_.end()) {
        return;
    }
    const RequestId id = attempt->second.request_;
    EntryRequest &pending = state.entry_.requests_.at(id);
    if (message.from_ != attempt->second.owner_) {
        return;
    }
    const bool current = pending.attempting_ && answer.id_ == pending.attempt_;
    if (!current) {
        handleLateAnswer(state, id, answer.answer_, out);
        return;
    }
    pending.attempting_ = false;
    state.entry_.avoided_.erase(pending.owner_.address_);
    if (pending.cancelling_) {
        handleCancelAnswer(state, id, answer.answer_, now, out);
    } else if (isTransactionStep(pending.request_)) {
        handleStepAnswer(state, id, answer.answer_, now, out);
    } else {
        handleAnswer(state, id, answer.answer_, now, out);
    }
}

} // namespace Figward
