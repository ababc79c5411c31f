/** \file
 * Defines what a caller asks and what it is told: request, answer and session token.
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

/** What a session has seen: for each group it touched, the latest log point that its reads must include. */
struct SessionToken
{
    std::map<GroupId, LogPoint> points_;
    bool operator==(const SessionToken &) const = default;
};

/** Raises the point of \p group in \p token to \p point if that is later. */
void advance(SessionToken &token, const GroupId &group, LogPoint point);
/** Adds to \p token all that \p other has seen. */
void merge(SessionToken &token, const SessionToken &other);
/** The opaque text that a caller carries between requests. */
std::string encodeToken(const SessionToken &token);
/** Decodes \p encoded; an empty text is the empty token. InvalidArgument if it was not made by encodeToken(). */
absl::StatusOr<SessionToken> decodeToken(std::string_view encoded);

/** Part that a request plays in a transaction. */
enum class RequestKind {
    Read,
    Write,
    Begin,
    Commit,
    Rollback,
    CancelKey, ///< Between proxies only: finds the recorded answer of a key, or cancels the key.
};

/** A caller's request, as the entry proxy takes it and the owner proxy runs it. */
struct Request
{
    RequestKind kind_ = RequestKind::Read;
    ServiceId service_;
    GroupId group_;
    std::string body_; ///< Opaque to figward; the upstream interprets it.
    std::optional<IdempotencyKey> key_; ///< Required for Write, Commit and CancelKey; a Write inside a transaction has none.
    Sequence acknowledgedBelow_; ///< The caller will not ask again for keys of its session below this one.
    bool repeated_ = false; ///< The key was asked before, and its outcome is not known to the caller: "not run" must then hold for that ask, too.
    bool idempotent_ = false; ///< A write that the caller allows to run more than once.
    TransactionId transaction_; ///< Non-zero for a request inside a transaction; assigned by the entry proxy's answer to Begin.
    SessionToken token_;
    std::optional<Duration> maxStaleness_; ///< Age up to which a replica's data is acceptable to a read.
    Duration timeout_{}; ///< Time left until the caller gives up; relative, since clocks of VMs are not compared.
    ClassId class_;
};

/** Whether \p request belongs to a transaction that is already open. */
bool isTransactionStep(const Request &request);

/** The one answer to a request. */
struct Answer
{
    Outcome outcome_ = Outcome::NotRun;
    ErrorKind error_ = ErrorKind::None;
    std::string body_;
    SessionToken token_; ///< What the session has seen now; to be sent with its next request.
    std::optional<Duration> retryAfter_; ///< When asking again makes sense.
    TransactionId transaction_; ///< Set by the answer to Begin.
    MemberId servedBy_; ///< Empty when no member was involved.
    bool fromReplica_ = false;
};

/** Answer saying that the request was proved not to run because of \p error. */
Answer notRun(ErrorKind error, std::optional<Duration> retryAfter = std::nullopt);
/** Answer saying that the fate of the request is unknown because of \p error. */
Answer unknown(ErrorKind error);

} // namespace Figward
