/** \file
 * Defines what figward asks of the members of a database group, and the only assumptions it makes about them.
 *
 * A group's members replicate asynchronously from one primary. A member exposes the term and position of its log and obeys four
 * control calls. A database that offers less needs an adapter that supplies them; nothing else in figward depends on how.
 *  - probe: report the status.
 *  - fence(term): from now on refuse every promotion, statement and replication of a lower term; refused if already fenced at
 *    that term or above.
 *  - promote(term): become primary if fenced at exactly that term; the first entry of the new term is the primary's own.
 *  - follow(primary, term): cut any entries that the primary's log does not contain, then replicate from it.
 * A Commit ends its transaction whatever the answer, but for WrongTerm and Busy; a connection that closes rolls its transaction back.
 * A member stores a write and its idempotency key in one transaction under a unique key.
 */
#pragma once

#include "Ids.h"
#include "Request.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Figward {

/** What a member reports of itself. */
struct MemberStatus
{
    LogPoint log_; ///< Its last log entry. The term is that entry's, never the term the member was fenced at.
    Term fenced_; ///< Highest term it was fenced at or has followed.
    bool primary_ = false; ///< Whether it takes writes, in term log_.term_.
    std::vector<LogPoint> termStarts_; ///< First entry of each of the last terms in its log, oldest first.
    bool operator==(const MemberStatus &) const = default;
};

/** A statement sent on a connection. */
struct UpstreamStatement
{
    StatementId id_;
    RequestKind kind_ = RequestKind::Read;
    Term requiredTerm_; ///< Run only as primary of this very term; zero: run in any role.
    std::optional<IdempotencyKey> key_;
    Sequence acknowledgedBelow_;
    std::string body_;
};

/** How a member answered a statement. */
enum class UpstreamResult {
    Done, ///< Ran; for a write, point_ is its entry.
    Recorded, ///< The key was found: the recorded body and point, nothing ran now.
    Cancelled, ///< The key is a tombstone: it did not run and never will. Also the answer to a CancelKey that took effect.
    Trimmed, ///< The key is below what the group remembers: nothing ran now.
    WrongTerm, ///< Not run: the member is not primary of the required term.
    Busy, ///< Not run: the group runs as many statements as it has slots.
    Rejected, ///< Not run: the statement is wrong.
    NoTransaction, ///< Not run: the connection has no open transaction, or already has one.
};

/** The answer to the statement of the same id. */
struct UpstreamAnswer
{
    StatementId id_;
    UpstreamResult result_ = UpstreamResult::Done;
    std::string body_;
    LogPoint point_; ///< Write: its entry. Read: the member's last entry when it read.
    MemberStatus status_; ///< The member's status when it answered; evidence that comes for free.
};

/** Ask for the status. */
struct Probe
{
};
/** See the file comment. */
struct Fence
{
    Term term_;
};
/** See the file comment. */
struct Promote
{
    Term term_;
};
/** See the file comment. */
struct Follow
{
    MemberId primary_;
    Term term_;
};
/** Forget the keys of sessions that started before this; later requests of such sessions are answered Trimmed. Replicated as a log entry. */
struct TrimKeys
{
    std::uint64_t sessionsBefore_ = 0; ///< Seconds since the Unix epoch.
    Term requiredTerm_;
};

using ControlBody = std::variant<Probe, Fence, Promote, Follow, TrimKeys>;

/** A control call to a member; does not use a connection of the group's limit. */
struct ControlCall
{
    ControlId id_;
    ControlBody body_;
};

/** How a control call ended. */
enum class ControlResult {
    Ok,
    Refused, ///< The member answered that its term forbids it.
    Failed, ///< No answer: it may or may not have taken effect.
};

/** The answer to the control call of the same id. Without an answer from the member the adapter supplies Failed after its timeout. */
struct ControlAnswer
{
    ControlId id_;
    ControlResult result_ = ControlResult::Failed;
    MemberStatus status_; ///< Meaningless when Failed.
};

} // namespace Figward
