#include "GroupLog.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace Figward::Standin {

namespace {

constexpr std::size_t reportedTerms = 16;

std::int64_t numberIn(const std::string &text)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

std::optional<Operation> changingOperation(OperationKind kind, const std::vector<std::string> &words)
{
    const bool complete = words.size() == 3;
    std::int64_t number = 0;
    if (!complete || (kind == OperationKind::Add && !absl::SimpleAtoi(words[2], &number))) {
        return std::nullopt;
    }
    return Operation{kind, words[1], words[2]};
}

} // namespace

std::optional<Operation> parseOperation(std::string_view body)
{
    const std::vector<std::string> words = absl::StrSplit(absl::string_view(body.data(), body.size()), ' ', absl::SkipEmpty());
    if (words.empty()) {
        return std::nullopt;
    }
    if (words[0] == "get") {
        return words.size() == 2 ? std::optional(Operation{OperationKind::Get, words[1], {}}) : std::nullopt;
    }
    if (words[0] == "put") {
        return changingOperation(OperationKind::Put, words);
    }
    if (words[0] == "append") {
        return changingOperation(OperationKind::Append, words);
    }
    if (words[0] == "add") {
        return changingOperation(OperationKind::Add, words);
    }
    return std::nullopt;
}

std::string apply(Values &values, const Operation &operation)
{
    if (operation.kind_ == OperationKind::Get) {
        const auto found = values.find(operation.key_);
        return found == values.end() ? std::string() : found->second;
    }
    std::string &value = values[operation.key_];
    switch (operation.kind_) {
    case OperationKind::Get:
        break;
    case OperationKind::Put:
        value = operation.argument_;
        break;
    case OperationKind::Append:
        value += operation.argument_;
        break;
    case OperationKind::Add:
        value = std::to_string(numberIn(value) + numberIn(operation.argument_));
        break;
    }
    return value;
}

LogPoint GroupLog::append(LogEntry entry, Time now)
{
    entry.point_.position_ = Position(entries_.size() + 1);
    updateTables(entry);
    appendedAt_.push_back(now);
    entries_.push_back(std::move(entry));
    return entries_.back().point_;
}

void GroupLog::truncate(std::size_t length)
{
    if (length >= entries_.size()) {
        return;
    }
    const std::vector<LogEntry> kept(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(length));
    const std::vector<Time> times = appendedAt_;
    *this = GroupLog();
    for (std::size_t i = 0; i < kept.size(); ++i) {
        append(kept[i], times[i]);
    }
}

const std::vector<LogEntry> &GroupLog::entries() const
{
    return entries_;
}

Time GroupLog::appendedAt(std::size_t index) const
{
    return appendedAt_.at(index);
}

LogPoint GroupLog::end() const
{
    return entries_.empty() ? LogPoint{} : entries_.back().point_;
}

std::vector<LogPoint> GroupLog::termStarts() const
{
    const std::size_t skipped = termStarts_.size() - std::min(termStarts_.size(), reportedTerms);
    return {termStarts_.begin() + static_cast<std::ptrdiff_t>(skipped), termStarts_.end()};
}

const Values &GroupLog::values() const
{
    return values_;
}

KeyState GroupLog::stateOf(const IdempotencyKey &key) const
{
    const auto acknowledged = acknowledgedBelow_.find(key.session_);
    const bool trimmed = acknowledged != acknowledgedBelow_.end() && key.sequence_ < acknowledged->second;
    if (trimmed || key.session_.startedSeconds_ < sessionsBefore_) {
        return KeyState::Trimmed;
    }
    const auto found = keys_.find(key);
    if (found == keys_.end()) {
        return KeyState::Absent;
    }
    return entries_[found->second].tombstone_ ? KeyState::Cancelled : KeyState::Recorded;
}

const LogEntry &GroupLog::entryOf(const IdempotencyKey &key) const
{
    return entries_.at(keys_.at(key));
}

void GroupLog::updateTables(const LogEntry &entry)
{
    if (termStarts_.empty() || termStarts_.back().term_ != entry.point_.term_) {
        termStarts_.push_back(entry.point_);
    }
    for (const Operation &operation : entry.operations_) {
        apply(values_, operation);
    }
    sessionsBefore_ = std::max(sessionsBefore_, entry.sessionsBefore_);
    if (entry.key_) {
        keys_[*entry.key_] = entries_.size();
        Sequence &below = acknowledgedBelow_[entry.key_->session_];
        below = std::max(below, entry.acknowledgedBelow_);
    }
}

} // namespace Figward::Standin
