/** \file
 * Defines the typed failures that a caller, an operator or another part of figward can meet.
 */
#pragma once

#include <string_view>

namespace Figward {

/** What became of a request. */
enum class Outcome {
    Done, ///< Ran; for a write, a majority of the group holds it.
    NotRun, ///< Proved not to have run, and it never will.
    Unknown, ///< May or may not have run; the same idempotency key asks again safely.
};

/** Why a request did not simply succeed. */
enum class ErrorKind {
    None,
    BadRequest, ///< The request contradicts itself or the configuration; repeating it unchanged is useless.
    UnknownService,
    UnknownGroup,
    MissingKey, ///< A write without an idempotency key.
    BadToken, ///< The session token cannot be decoded.
    NotConfigured, ///< This proxy has no configuration yet.
    Draining, ///< This proxy is shutting down; another takes the request.
    NotOwner, ///< The proxy asked does not own connections to the group.
    NoOwner, ///< No proxy that owns connections to the group can be reached.
    NoPrimary, ///< The group has no primary at present; a failover may be running.
    ReplicasBehind, ///< Too few replicas would hold the write before its deadline.
    QueueFull,
    Overloaded, ///< The deadline would pass while the request waits.
    DeadlineExceeded,
    RetryBudgetSpent,
    UpstreamFailed, ///< The connection or the upstream failed after the request was sent.
    UpstreamRefused, ///< The upstream refused it before running it.
    StatementRejected, ///< The database says that the statement itself is wrong.
    KeyCancelled, ///< The idempotency key was cancelled earlier; the request did not run.
    KeyTrimmed, ///< The idempotency key is older than what the group remembers.
    TransactionLost, ///< The transaction ended before its commit was sent.
    NoSuchTransaction,
};

/** Name of \p outcome as it stands in logs and reports, such as "not-run". */
std::string_view toString(Outcome outcome);
/** Name of \p kind as it stands in logs and reports, such as "no-primary". */
std::string_view toString(ErrorKind kind);

} // namespace Figward
