/** \file
 * Defines the operations that figward requires of the members of a database group, and its only assumptions about them.
 *
 * A group's members replicate asynchronously from one primary. A member exposes the term and position of its log and supports the
 * control calls below. A database without them needs an adapter that supplies them; nothing else in figward depends on how it does so.
 *  - probe: report the status.
 *  - fence(term): from now on refuse every promotion, statement and replication of a lower term; refused if already fenced at
 *    that term or above.
 *  - promote(term): become primary if fenced at exactly that term; the first entry of the new term is the primary's own.
 *  - follow(primary, term): truncate any entries that the primary's log does not contain, then replicate from it.
 *  - trim keys: see TrimKeys.
 * A Commit ends its transaction unless the answer is WrongTerm or Busy. Closing a connection rolls its transaction back.
 * A member stores a write and its idempotency key in one transaction, with a unique constraint on the key.
 */
#pragma once

#include "Ids.h"
#include "Request.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Figward {

/** Status that a member reports about itself. */
struct MemberStatus
{
    LogPoint log_; ///< Last log entry. Its term is the entry's, not the term that the member was fenced at.
    Term fenced_; ///< Highest term that the member was fenced at or has followed.
    bool primary_ = false; ///< Whether the member accepts writes, in term log_.term_.
    std::vector<LogPoint> termStarts_; ///< First entry of each of the latest terms in the log, oldest first.
    bool operator==(const MemberStatus &) const = default;
};

/** A statement sent on a connection. */
struct UpstreamStatement
{
    StatementId id_;
    RequestKind kind_ = RequestKind::Read;
    Term requiredTerm_; ///< The member must be primary of exactly this term; zero if it may have any role.
    std::optional<IdempotencyKey> key_;
    Sequence acknowledgedBelow_;
    std::string body_;
};

/** Result of a statement at a member. */
enum class UpstreamResult {
    Done, ///< The statement ran; for a write, point_ is its log entry.
    Recorded, ///< The key was found: the answer holds the recorded body and point, and nothing ran now.
    Cancelled, ///< The key is a tombstone: the statement did not run and never will. Also the answer to a CancelKey that took effect.
    Trimmed, ///< The key belongs to a trimmed session: nothing ran now, and whether the statement ran before is not known.
    WrongTerm, ///< Not run: the member is not primary of the required term.
    Busy, ///< Not run: all slots of the group are in use.
    Rejected, ///< Not run: the statement is invalid.
    NoTransaction, ///< Not run: the connection has no open transaction, or already has one.
};

/** Answer to the statement with the same id. */
struct UpstreamAnswer
{
    StatementId id_;
    UpstreamResult result_ = UpstreamResult::Done;
    std::string body_;
    LogPoint point_; ///< For a write, its log entry; for a read, the member's last entry at the time of the read.
    MemberStatus status_; ///< The member's status when it answered, used like the answer to a probe.
};

/** Requests the member's status. */
struct Probe
{
};
/** Fences the member at term_; see the file comment. */
struct Fence
{
    Term term_;
};
/** Promotes the member in term_; see the file comment. */
struct Promote
{
    Term term_;
};
/** Makes the member follow primary_ in term_; see the file comment. */
struct Follow
{
    MemberId primary_;
    Term term_;
};
/** Removes the keys of sessions that started before the given time; later requests of such sessions are answered Trimmed. Replicated as a log entry. */
struct TrimKeys
{
    std::uint64_t sessionsBefore_ = 0; ///< Seconds since the Unix epoch.
    Term requiredTerm_;
};

using ControlBody = std::variant<Probe, Fence, Promote, Follow, TrimKeys>;

/** A control call to a member. It does not use one of the group's limited connections. */
struct ControlCall
{
    ControlId id_;
    ControlBody body_;
};

/** Result of a control call. */
enum class ControlResult {
    Ok,
    Refused, ///< The member refused the call because of its term.
    Failed, ///< No answer; the call may have taken effect.
};

/** Answer to the control call with the same id. If the member does not answer, the adapter supplies Failed after its timeout. */
struct ControlAnswer
{
    ControlId id_;
    ControlResult result_ = ControlResult::Failed;
    MemberStatus status_; ///< Not valid if the result is Failed.
};

} // namespace Figward
