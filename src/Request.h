/** \file
 * Defines the requests of callers, their answers and the session token.
 */
#pragma once

#include "Errors.h"
#include "Ids.h"
#include "Units.h"

#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Figward {

/** Read-your-writes state of a session: for each group that it used, the latest log point that its reads must include. */
struct SessionToken
{
    std::map<GroupId, LogPoint> points_;
    bool operator==(const SessionToken &) const = default;
};

/** Advances the point of \p group in \p token to \p point, unless it is already at a later one. */
void advance(SessionToken &token, const GroupId &group, LogPoint point);
/** Advances \p token to the points in \p other. */
void merge(SessionToken &token, const SessionToken &other);
/** Encodes \p token as opaque text, which the caller receives with an answer and sends with its next request. */
std::string encodeToken(const SessionToken &token);
/** Decodes \p encoded; empty text gives an empty token. Returns InvalidArgument if the text is malformed. */
absl::StatusOr<SessionToken> decodeToken(std::string_view encoded);

/** Kind of a request, including its role in a transaction. */
enum class RequestKind {
    Read,
    Write,
    Begin,
    Commit,
    Rollback,
    CancelKey, ///< Used only between proxies: returns the recorded answer of a key, or cancels the key if there is none.
};

/** A caller's request, which the entry proxy receives and an owner proxy runs. */
struct Request
{
    RequestKind kind_ = RequestKind::Read;
    ServiceId service_;
    GroupId group_;
    std::string body_; ///< Opaque to figward; the upstream interprets it.
    std::optional<IdempotencyKey> key_; ///< Required for Write, Commit and CancelKey, but absent for a Write inside a transaction.
    Sequence acknowledgedBelow_; ///< The caller will not retry requests of its session with lower sequence numbers.
    bool repeated_ = false; ///< The key was used before with an outcome unknown to the caller; "not run" must then be true of that request, too.
    bool idempotent_ = false; ///< The caller allows this write to run more than once.
    TransactionId transaction_; ///< Non-zero inside a transaction; the entry proxy assigns it in its answer to Begin.
    SessionToken token_;
    std::optional<Duration> maxStaleness_; ///< Maximum age of a replica's data for this read.
    Duration timeout_{}; ///< Time left until the caller's deadline. Relative, because clocks of different VMs are not compared.
    ClassId class_;
};

/** Whether \p request belongs to a transaction that is already open. */
bool isTransactionStep(const Request &request);

/** The answer to a request; each request gets exactly one. */
struct Answer
{
    Outcome outcome_ = Outcome::NotRun;
    ErrorKind error_ = ErrorKind::None;
    std::string body_;
    SessionToken token_; ///< Updated session token, which the caller sends with its next request.
    std::optional<Duration> retryAfter_; ///< Delay after which the caller may retry.
    TransactionId transaction_; ///< Set by the answer to Begin.
    MemberId servedBy_; ///< Empty when no member was involved.
    bool fromReplica_ = false;
};

/** Makes an answer which states that the request certainly did not run because of \p error. */
Answer notRun(ErrorKind error, std::optional<Duration> retryAfter = std::nullopt);
/** Makes an answer which states that the outcome of the request is unknown because of \p error. */
Answer unknown(ErrorKind error);

} // namespace Figward
