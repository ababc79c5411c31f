/** \file
 * Defines the vocabulary of database sessions: the statements that clients send, what members answer, and what clients are told.
 *
 * A session is a connection of a client to one database. Values and prepared names belong to it; the proxy keeps them and brings them to whichever
 * member connection runs the next statement.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <optional>
#include <string>
#include <vector>

namespace Figward {

/** A client's session in this process; never reused. */
using SessionKey = StrongValue<struct SessionKeyTag, std::uint64_t>;

/** What a client's statement asks. */
enum class StatementKind {
    Malformed, ///< Not understood; answered as such.
    Begin,
    BeginRead,
    Commit,
    Rollback,
    Read,
    Write,
    Set,
    Prepare,
    Execute,
    Deallocate,
};

/** One statement of a client. */
struct ClientStatement
{
    std::string id_; ///< Chosen by the client; travels with what is forwarded.
    StatementKind kind_ = StatementKind::Malformed;
    std::string text_; ///< Whole text of Read and Write, forwarded unchanged.
    std::string name_; ///< Of the value (Set) or of the prepared statement.
    std::string value_; ///< The value (Set), the shape (Prepare) or the arguments (Execute).
    bool writes_ = false; ///< Prepare: the shape writes.
};

/** Why a statement did not complete. */
enum class ReplyCode {
    None, ///< It completed.
    Retry, ///< Promise: not run, ask again.
    Aborted, ///< Promise: nothing of the transaction is kept.
    Lagging, ///< Promise: the member's log lacks the position asked for.
    ReadOnly, ///< Promise: the member is no primary.
    Misrouted, ///< Promise: another member than the one meant.
    TooMany, ///< Promise: too many connections.
    NoStatement, ///< Not run: no such prepared name.
    Failed, ///< Ran and failed.
    Timeout, ///< No answer in time; promises nothing.
    InDoubt, ///< May or may not have run.
    NoDatabase, ///< No route has this name.
    NotAuthenticated, ///< No organisation holds the client's key.
    Malformed,
    Other, ///< A code that is not known here; its word begins the text.
};

/** Whether \p code promises that the statement did not run and nothing of it is kept. */
constexpr bool promisesNotRun(ReplyCode code)
{
    return code == ReplyCode::Retry || code == ReplyCode::Lagging || code == ReplyCode::ReadOnly || code == ReplyCode::Misrouted || code == ReplyCode::TooMany
           || code == ReplyCode::NoStatement;
}

/** Name of \p code in logs, such as "in-doubt". */
std::string toString(ReplyCode code);

/** Where a session or a member connection stands between statements. */
enum class TransactionState {
    None,
    Open,
    Failed, ///< Only the end of the transaction is taken; it rolls back.
};

/** An answer to one statement, from a member or to a client. */
struct SessionReply
{
    std::vector<std::string> rows_;
    ReplyCode code_ = ReplyCode::None;
    std::string receipt_; ///< Of a completed statement; "-" when no member ran it.
    std::string text_; ///< Of a failure.
    TransactionState state_ = TransactionState::None;
    std::optional<LogPoint> position_; ///< Of the member's log when it answered.
};

/** What the proxy asks of a member on a connection. */
enum class MemberVerb {
    Begin,
    BeginRead,
    Forward, ///< The client's text, unchanged.
    Execute,
    Commit,
    Rollback,
    Set,
    Prepare,
    Reset,
    Status,
    StepDown,
};

/** One request on a member connection. */
struct MemberRequest
{
    MemberVerb verb_ = MemberVerb::Forward;
    std::string id_; ///< The client's; empty for statements of the proxy's own.
    std::optional<LogPoint> after_; ///< Refuse with Lagging unless the log holds this point.
    std::string text_; ///< Forward: the client's text.
    std::string name_;
    std::string value_;
    bool writes_ = false; ///< Prepare.
    Term term_; ///< StepDown: primaries of a lower term become replicas.
};

/** What a member reports of itself. */
struct ReplicationReport
{
    bool primary_ = false;
    Term term_;
    LogPoint received_; ///< Last log entry that it has received, applied or not.
};

} // namespace Figward
