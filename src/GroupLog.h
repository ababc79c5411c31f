/** \file
 * Defines the log of one database of the stand-in group, and the tables derived from it: values, idempotency keys and the limits below which keys are trimmed.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Figward::Standin {

/** What a statement does to one value. */
enum class OperationKind {
    Get,
    Put,
    Append,
    Add, ///< Adds an integer; a value that is not an integer counts as zero.
};

/** One statement, as parsed: "get KEY", "put KEY VALUE", "append KEY VALUE" or "add KEY N". */
struct Operation
{
    OperationKind kind_ = OperationKind::Get;
    std::string key_;
    std::string argument_;
    bool operator==(const Operation &) const = default;
};

/** Parses \p body; nullopt if it is not a valid statement. */
std::optional<Operation> parseOperation(std::string_view body);

/** One committed entry of a log. */
struct LogEntry
{
    LogPoint point_;
    std::optional<IdempotencyKey> key_;
    Sequence acknowledgedBelow_; ///< Keys of the same session with a lower sequence are trimmed.
    bool tombstone_ = false; ///< The key was cancelled: its write did not run and never will.
    std::uint64_t sessionsBefore_ = 0; ///< If non-zero, the keys of sessions that started before this second are trimmed.
    std::vector<Operation> operations_; ///< All operations of one write or transaction; empty for the opening entry of a term.
    std::string answer_; ///< The answer that was sent to the caller.
    bool operator==(const LogEntry &) const = default;
};

/** State of an idempotency key. */
enum class KeyState {
    Absent,
    Recorded,
    Cancelled,
    Trimmed,
};

/** Values by name. */
using Values = std::map<std::string, std::string>;

/** Runs \p operation on \p values and returns the value that its key has afterwards. */
std::string apply(Values &values, const Operation &operation);

/** A log and the tables derived from it. */
class GroupLog
{
public:
    /** Appends an entry of \p entry's term at the next position, and returns its point. */
    LogPoint append(LogEntry entry, Time now);
    /** Removes all entries after the first \p length. */
    void truncate(std::size_t length);

    [[nodiscard]] const std::vector<LogEntry> &entries() const;
    /** When the entry at \p index was appended to this log. */
    [[nodiscard]] Time appendedAt(std::size_t index) const;
    /** The last entry's point; term and position zero when empty. */
    [[nodiscard]] LogPoint end() const;
    /** The point of the first entry of each of the most recent terms, oldest first. */
    [[nodiscard]] std::vector<LogPoint> termStarts() const;
    [[nodiscard]] const Values &values() const;
    [[nodiscard]] KeyState stateOf(const IdempotencyKey &key) const;
    /** The entry that recorded or cancelled \p key. */
    [[nodiscard]] const LogEntry &entryOf(const IdempotencyKey &key) const;

private:
    void updateTables(const LogEntry &entry);

    std::vector<LogEntry> entries_;
    std::vector<Time> appendedAt_;
    std::vector<LogPoint> termStarts_;
    Values values_;
    std::map<IdempotencyKey, std::size_t> keys_;
    std::map<SessionId, Sequence> acknowledgedBelow_;
    std::uint64_t sessionsBefore_ = 0;
};

} // namespace Figward::Standin
