#include "Entry.h"

#include "EntryAttempts.h"
#include "EntryChecks.h"
#include "ProxyState.h"

namespace Figward {

namespace {

/** Refusals that another owner, or the same one a moment later, may not give. */
bool worthAnotherAttempt(ErrorKind error)
{
    switch (error) {
    case ErrorKind::Draining:
    case ErrorKind::NotOwner:
    case ErrorKind::NoOwner:
    case ErrorKind::NoPrimary:
    case ErrorKind::UpstreamFailed:
    case ErrorKind::UpstreamRefused:
    case ErrorKind::DeadlineExceeded: // Of the attempt, not of the request.
        return true;
    default:
        return false;
    }
}

bool isRepeated(const Request &request)
{
    return request.repeated_ && request.key_;
}

/** Takes the answer of a transaction's step; any failure but a rejected statement ends the transaction. */
void takeStepAnswer(ProxyState &state, RequestId id, const Answer &answer, Time now, Effects &out)
{
    EntryRequest &asked = state.entry_.requests_.at(id);
    const bool ends = asked.request_.kind_ == RequestKind::Commit || asked.request_.kind_ == RequestKind::Rollback;
    const bool survives = answer.outcome_ == Outcome::Done || answer.error_ == ErrorKind::StatementRejected;
    if (survives && !ends) {
        concludeRequest(state, id, answer, out);
        return;
    }
    const TransactionId transaction = asked.request_.transaction_;
    if (asked.request_.kind_ == RequestKind::Commit && answer.outcome_ == Outcome::Unknown) {
        endEntryTransaction(state, transaction, false, out);
        cancelKey(state, id, now, out);
        return;
    }
    endEntryTransaction(state, transaction, !survives, out);
    // The commit was never sent and never will be: nothing of the transaction can take effect, whatever became of this step.
    const bool proved = answer.outcome_ == Outcome::Unknown;
    concludeRequest(state, id, proved ? notRun(ErrorKind::TransactionLost) : answer, out);
}

/** Takes the answer to an attempt to cancel the key: the last word on a request whose fate was open. */
void takeCancelAnswer(ProxyState &state, RequestId id, Answer answer, Time now, Effects &out)
{
    EntryRequest &asked = state.entry_.requests_.at(id);
    const bool settled = answer.outcome_ == Outcome::Done || answer.error_ == ErrorKind::KeyCancelled || answer.error_ == ErrorKind::KeyTrimmed;
    if (!settled) {
        attemptRequest(state, id, now, out);
        return;
    }
    if (answer.error_ == ErrorKind::KeyCancelled) {
        answer.error_ = asked.lastError_;
    }
    concludeRequest(state, id, std::move(answer), out);
}

void takeRefusal(ProxyState &state, RequestId id, const Answer &answer, Time now, Effects &out)
{
    EntryRequest &asked = state.entry_.requests_.at(id);
    asked.lastError_ = answer.error_;
    if (worthAnotherAttempt(answer.error_)) {
        retryRequest(state, id, now, out);
        return;
    }
    const bool proved = !asked.mayHaveRun_ || answer.error_ == ErrorKind::KeyCancelled;
    if (proved) {
        concludeRequest(state, id, answer, out);
        return;
    }
    // This attempt did not run, but an earlier one may have: only the key can tell.
    cancelKey(state, id, now, out);
}

void takeAnswer(ProxyState &state, RequestId id, const Answer &answer, Time now, Effects &out)
{
    EntryRequest &asked = state.entry_.requests_.at(id);
    switch (answer.outcome_) {
    case Outcome::Done:
        if (asked.request_.kind_ == RequestKind::Begin) {
            state.entry_.transactions_[asked.beginning_] = {asked.request_.group_, asked.owner_, false};
        }
        concludeRequest(state, id, answer, out);
        return;
    case Outcome::NotRun:
        takeRefusal(state, id, answer, now, out);
        return;
    case Outcome::Unknown:
        asked.lastError_ = answer.error_;
        if (asked.request_.kind_ == RequestKind::Begin) {
            // What it may have opened ends with the abandon: nothing of it can take effect.
            sendPeer(state, asked.owner_, AbandonTransaction{asked.beginning_}, out);
            retryRequest(state, id, now, out);
            return;
        }
        asked.mayHaveRun_ = true;
        if (answer.error_ == ErrorKind::KeyTrimmed) {
            concludeRequest(state, id, answer, out);
            return;
        }
        retryRequest(state, id, now, out);
        return;
    }
}

/**
 * Takes the answer to an attempt that was given up. "Done" and a tombstone are true for good, whichever attempt brought them; a refusal is true only of that
 * attempt.
 */
void takeLateAnswer(ProxyState &state, RequestId id, Answer answer, Effects &out)
{
    const EntryRequest &asked = state.entry_.requests_.at(id);
    const bool bound = asked.request_.kind_ == RequestKind::Begin || isTransactionStep(asked.request_);
    const bool settled = answer.outcome_ == Outcome::Done || answer.error_ == ErrorKind::KeyCancelled;
    if (bound || !settled) {
        return;
    }
    if (answer.error_ == ErrorKind::KeyCancelled) {
        answer.error_ = asked.lastError_;
    }
    concludeRequest(state, id, std::move(answer), out);
}

} // namespace

void onCallerAsked(ProxyState &state, const CallerAsked &event, Time now, Effects &out)
{
    const ErrorKind refusal = checkRequest(state, event.request_, now);
    if (refusal != ErrorKind::None) {
        // A repeat that is refused here says nothing about the ask before it.
        Answer answer = isRepeated(event.request_) ? unknown(refusal) : notRun(refusal);
        answer.retryAfter_ = retryAdvice(refusal);
        answer.token_ = event.request_.token_;
        out.push_back(AnswerCaller{event.id_, std::move(answer)});
        return;
    }
    earnRetry(state.entry_.budget_, state.configuration_.policy_.retryBudgetPercent_);
    EntryRequest &asked = state.entry_.requests_[event.id_];
    asked.request_ = event.request_;
    asked.deadline_ = now + event.request_.timeout_;
    asked.mayHaveRun_ = isRepeated(event.request_);
    if (asked.request_.kind_ == RequestKind::Begin) {
        asked.beginning_ = TransactionId(takeId(state));
    }
    if (isTransactionStep(asked.request_)) {
        state.entry_.transactions_.at(asked.request_.transaction_).busy_ = true;
    }
    state.timers_.arm(asked.deadline_, {TimerTopic::EntryDeadline, {}, event.id_.value()});
    attemptRequest(state, event.id_, now, out);
}

void onCallerGone(ProxyState &state, const CallerGone &event, Time /*now*/, Effects &out)
{
    const auto transaction = state.entry_.transactions_.find(event.transaction_);
    if (transaction == state.entry_.transactions_.end()) {
        return;
    }
    // A commit that is under way takes its course: its outcome is recorded under its key for the caller that returns.
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
    EntryRequest &asked = state.entry_.requests_.at(id);
    if (message.from_ != attempt->second.owner_) {
        return;
    }
    const bool present = asked.attempting_ && answer.id_ == asked.attempt_;
    if (!present) {
        takeLateAnswer(state, id, answer.answer_, out);
        return;
    }
    asked.attempting_ = false;
    state.entry_.avoided_.erase(asked.owner_.address_);
    if (asked.cancelling_) {
        takeCancelAnswer(state, id, answer.answer_, now, out);
    } else if (isTransactionStep(asked.request_)) {
        takeStepAnswer(state, id, answer.answer_, now, out);
    } else {
        takeAnswer(state, id, answer.answer_, now, out);
    }
}

} // namespace Figward
