#include "EntryChecks.h"

#include "KeyTrim.h"
#include "ProxyState.h"

namespace Figward {

namespace {

constexpr std::uint64_t clockTolerance = 3600; // Seconds by which a caller's clock may be ahead of this proxy's.
constexpr Duration retryDelay = std::chrono::milliseconds(100);

bool needsKey(const Request &request, bool inTransaction)
{
    const bool repeatable = request.idempotent_ && request.kind_ == RequestKind::Write;
    return request.kind_ == RequestKind::Commit || (request.kind_ == RequestKind::Write && !inTransaction && !repeatable);
}

/** Whether the session's start time is in the future. The keys of such a session would never become old enough to be trimmed. */
bool startsInFuture(const ProxyState &state, const Request &request, Time now)
{
    const std::uint64_t unixNow = unixSeconds(state, now);
    return unixNow != 0 && request.key_ && request.key_->session_.startedSeconds_ > unixNow + clockTolerance;
}

ErrorKind checkDestination(const ProxyState &state, const Request &request)
{
    if (state.configuration_.version_ == ConfigVersion(0)) {
        return ErrorKind::NotConfigured;
    }
    if (!state.configuration_.services_.contains(request.service_)) {
        return ErrorKind::UnknownService;
    }
    const auto group = state.configuration_.groups_.find(request.group_);
    if (group == state.configuration_.groups_.end() || group->second.service_ != request.service_) {
        return ErrorKind::UnknownGroup;
    }
    return ErrorKind::None;
}

ErrorKind checkStep(const ProxyState &state, const Request &request)
{
    const auto transaction = state.entry_.transactions_.find(request.transaction_);
    if (transaction == state.entry_.transactions_.end()) {
        return ErrorKind::NoSuchTransaction;
    }
    const bool misplaced = transaction->second.group_ != request.group_ || request.kind_ == RequestKind::Begin;
    return misplaced || transaction->second.busy_ ? ErrorKind::BadRequest : ErrorKind::None;
}

} // namespace

ErrorKind checkRequest(const ProxyState &state, const Request &request, Time now)
{
    const ErrorKind misplaced = checkDestination(state, request);
    if (misplaced != ErrorKind::None) {
        return misplaced;
    }
    const bool step = request.transaction_ != TransactionId(0); // Includes a Begin inside a transaction, which checkStep() refuses.
    const bool outsideTransaction = !step && (request.kind_ == RequestKind::Commit || request.kind_ == RequestKind::Rollback);
    if (outsideTransaction) {
        return ErrorKind::NoSuchTransaction;
    }
    if (request.kind_ == RequestKind::CancelKey || request.timeout_ <= Duration::zero() || startsInFuture(state, request, now)) {
        return ErrorKind::BadRequest;
    }
    if (needsKey(request, step) && !request.key_) {
        return ErrorKind::MissingKey;
    }
    if (step) {
        return checkStep(state, request);
    }
    return state.drain_.draining_ ? ErrorKind::Draining : ErrorKind::None;
}

std::optional<Duration> suggestedRetryDelay(ErrorKind error)
{
    switch (error) {
    case ErrorKind::NotConfigured:
    case ErrorKind::NoOwner:
    case ErrorKind::NoPrimary:
    case ErrorKind::ReplicasBehind:
    case ErrorKind::DeadlineExceeded:
    case ErrorKind::RetryBudgetSpent:
    case ErrorKind::UpstreamFailed:
    case ErrorKind::UpstreamRefused:
        return retryDelay;
    case ErrorKind::Draining:
    case ErrorKind::TransactionLost:
        return Duration::zero();
    default:
        return std::nullopt;
    }
}

} // namespace Figward
