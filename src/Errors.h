/** \file
 * Defines the outcomes and errors that figward reports to callers and operators and uses internally.
 */
#pragma once

#include <string_view>

namespace Figward {

/** Whether a request ran. */
enum class Outcome {
    Done, ///< Ran. A write is stored by a majority of the group.
    NotRun, ///< Certainly did not run, and never will.
    Unknown, ///< May or may not have run. A retry with the same idempotency key is safe.
};

/** Reason why a request failed. */
enum class ErrorKind {
    None,
    BadRequest, ///< The request is inconsistent in itself or with the configuration; a retry of the same request fails, too.
    UnknownService,
    UnknownGroup,
    MissingKey, ///< A write without an idempotency key.
    BadToken, ///< The session token cannot be decoded.
    NotConfigured, ///< This proxy has no configuration yet.
    Draining, ///< This proxy is shutting down; the caller must use another one.
    NotOwner, ///< The proxy that received the request does not own connections to the group.
    NoOwner, ///< No proxy that owns connections to the group is reachable.
    NoPrimary, ///< The group currently has no primary; a failover may be in progress.
    ReplicasBehind, ///< Too few replicas would have received the write before its deadline.
    QueueFull,
    Overloaded, ///< The deadline would expire while the request is queued.
    DeadlineExceeded,
    RetryBudgetSpent,
    UpstreamFailed, ///< The connection or the upstream failed after the request was sent.
    UpstreamRefused, ///< The upstream refused the request before running it.
    StatementRejected, ///< The database rejected the statement as invalid.
    KeyCancelled, ///< The idempotency key was cancelled earlier; the request did not run.
    KeyTrimmed, ///< The idempotency key is older than the oldest key that the group still stores.
    TransactionLost, ///< The transaction ended before its commit was sent.
    NoSuchTransaction,
};

/** Name of \p outcome in logs and reports, such as "not-run". */
std::string_view toString(Outcome outcome);
/** Name of \p kind in logs and reports, such as "no-primary". */
std::string_view toString(ErrorKind kind);

} // namespace Figward
