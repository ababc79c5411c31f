/** \file
 * Defines the types of database sessions: the statements that clients send, the requests to members, and the replies of members and of the proxy.
 *
 * A session is a connection of a client to one database. Session values and prepared statements belong to it; the proxy stores them and applies them to
 * whichever member connection runs the next statement.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <optional>
#include <string>
#include <vector>

namespace Figward {

/** Identifies a client's session in this process; never reused. */
using SessionKey = StrongValue<struct SessionKeyTag, std::uint64_t>;

/** Kind of a client's statement. */
enum class StatementKind {
    Malformed, ///< Could not be parsed; answered with an error.
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

/** One statement received from a client. */
struct ClientStatement
{
    std::string id_; ///< Chosen by the client; sent along with each forwarded request.
    StatementKind kind_ = StatementKind::Malformed;
    std::string text_; ///< Complete text of a Read or Write, forwarded unchanged; for Malformed, the parse error.
    std::string name_; ///< Name of the session value (Set) or of the prepared statement.
    std::string value_; ///< Session value (Set), statement shape (Prepare) or arguments (Execute).
    bool writes_ = false; ///< Prepare: whether the statement writes.
};

/** Why a statement did not complete. */
enum class ReplyCode {
    None, ///< The statement completed.
    Retry, ///< Guaranteed not to have run; the client may retry.
    Aborted, ///< Guaranteed that the transaction was rolled back.
    Lagging, ///< Guaranteed not to have run: the member's log does not reach the required position.
    ReadOnly, ///< Guaranteed not to have run: the member is not a primary.
    Misrouted, ///< Guaranteed not to have run: the connection reached a different member than intended.
    TooMany, ///< Guaranteed not to have run: the member has too many connections.
    NoStatement, ///< Not run: there is no prepared statement of this name.
    Failed, ///< The statement ran and failed.
    Timeout, ///< No answer before the deadline; nothing is guaranteed.
    InDoubt, ///< The statement may or may not have run.
    NoDatabase, ///< No route has this database name.
    NotAuthenticated, ///< The client's key does not belong to any organisation.
    Malformed,
    Other, ///< Unknown code; the text starts with the code as received.
};

/** Whether \p code guarantees that the statement did not run and had no effect. */
constexpr bool guaranteesNotRun(ReplyCode code)
{
    return code == ReplyCode::Retry || code == ReplyCode::Lagging || code == ReplyCode::ReadOnly || code == ReplyCode::Misrouted || code == ReplyCode::TooMany
           || code == ReplyCode::NoStatement;
}

/** Name of \p code in logs, such as "in-doubt". */
std::string toString(ReplyCode code);

/** Transaction state of a session or of a member connection between statements. */
enum class TransactionState {
    None,
    Open,
    Failed, ///< Only Commit and Rollback are accepted; both roll back.
};

/** Reply to one statement, received from a member or sent to a client. */
struct SessionReply
{
    std::vector<std::string> rows_;
    ReplyCode code_ = ReplyCode::None;
    std::string receipt_; ///< Receipt of a completed statement; "-" if no member ran it.
    std::string text_; ///< Error text of a failed statement.
    TransactionState state_ = TransactionState::None;
    std::optional<LogPoint> position_; ///< Position of the member's log when it answered.
};

/** Kind of a request that the proxy sends on a member connection. */
enum class MemberVerb {
    Begin,
    BeginRead,
    Forward, ///< Forwards the client's text unchanged.
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
    std::string id_; ///< Statement id of the client; empty for the proxy's own requests.
    std::optional<LogPoint> after_; ///< The member refuses with Lagging unless its log holds this point.
    std::string text_; ///< Forward: the client's text.
    std::string name_;
    std::string value_;
    bool writes_ = false; ///< Prepare: whether the statement writes.
    Term term_; ///< StepDown: a primary of a lower term becomes a replica.
};

/** Replication state that a member reports. */
struct ReplicationReport
{
    bool primary_ = false;
    Term term_;
    LogPoint received_; ///< Last log entry received by the member, whether or not it is applied.
};

} // namespace Figward
