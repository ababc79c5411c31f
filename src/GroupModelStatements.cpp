#include "GroupModel.h"

namespace Figward::Standin {

namespace {

UpstreamAnswer answerOf(UpstreamResult result, std::string body = {})
{
    UpstreamAnswer answer;
    answer.result_ = result;
    answer.body_ = std::move(body);
    return answer;
}

} // namespace

UpstreamAnswer GroupModel::execute(Link &link, const UpstreamStatement &statement, Time now)
{
    const Member &member = members_[link.member_];
    const bool anyRole = statement.requiredTerm_ == Term(0);
    const bool rightTerm = member.primary_ && member.log_.end().term_ == statement.requiredTerm_;
    const bool servesRead = anyRole && statement.kind_ == RequestKind::Read && !member.logCheckPending_;
    UpstreamAnswer answer;
    if (!slotsLeft(now)) {
        answer.result_ = UpstreamResult::Busy;
    } else if (!rightTerm && !servesRead) {
        answer.result_ = UpstreamResult::WrongTerm;
    } else {
        answer = runStatement(link, statement, now);
    }
    answer.id_ = statement.id_;
    answer.status_ = status(link.member_);
    return answer;
}

UpstreamAnswer GroupModel::runStatement(Link &link, const UpstreamStatement &statement, Time now)
{
    const LogPoint end = members_[link.member_].log_.end();
    switch (statement.kind_) {
    case RequestKind::Read: {
        UpstreamAnswer answer = runRead(link, statement);
        answer.point_ = end;
        return answer;
    }
    case RequestKind::Begin:
        if (link.transaction_) {
            return answerOf(UpstreamResult::NoTransaction);
        }
        link.transaction_.emplace();
        return answerOf(UpstreamResult::Done);
    case RequestKind::Rollback: {
        const bool open = link.transaction_.has_value();
        link.transaction_.reset();
        return answerOf(open ? UpstreamResult::Done : UpstreamResult::NoTransaction);
    }
    case RequestKind::Commit:
        return runCommit(link, statement, now);
    case RequestKind::Write:
        return runWrite(link, statement, now);
    case RequestKind::CancelKey:
        if (link.transaction_ || !statement.key_) {
            return answerOf(UpstreamResult::NoTransaction);
        }
        return runKeyed(members_[link.member_], statement, {.tombstone_ = true}, now);
    }
    return answerOf(UpstreamResult::Rejected);
}

UpstreamAnswer GroupModel::runRead(const Link &link, const UpstreamStatement &statement) const
{
    const std::optional<Operation> operation = parseOperation(statement.body_);
    if (!operation || operation->kind_ != OperationKind::Get) {
        return answerOf(UpstreamResult::Rejected, "not a read");
    }
    // A transaction sees its own uncommitted writes on top of the committed values.
    Values values = members_[link.member_].log_.values();
    if (link.transaction_) {
        for (const Operation &step : link.transaction_->operations_) {
            apply(values, step);
        }
    }
    return answerOf(UpstreamResult::Done, apply(values, *operation));
}

UpstreamAnswer GroupModel::runStep(Link &link, const UpstreamStatement &statement) const
{
    const std::optional<Operation> operation = parseOperation(statement.body_);
    if (!operation || operation->kind_ == OperationKind::Get) {
        return answerOf(UpstreamResult::Rejected, "not a write");
    }
    link.transaction_->operations_.push_back(*operation);
    Values values = members_[link.member_].log_.values();
    std::string after;
    for (const Operation &step : link.transaction_->operations_) {
        after = apply(values, step);
    }
    return answerOf(UpstreamResult::Done, std::move(after));
}

UpstreamAnswer GroupModel::runKeyed(Member &member, const UpstreamStatement &statement, LogEntry entry, Time now)
{
    UpstreamAnswer answer;
    const KeyState state = member.log_.stateOf(*statement.key_);
    if (state == KeyState::Recorded || state == KeyState::Cancelled) {
        const LogEntry &recorded = member.log_.entryOf(*statement.key_);
        answer = answerOf(state == KeyState::Recorded ? UpstreamResult::Recorded : UpstreamResult::Cancelled, recorded.answer_);
        answer.point_ = recorded.point_;
        return answer;
    }
    if (state == KeyState::Trimmed) {
        answer = answerOf(UpstreamResult::Trimmed);
        answer.point_ = member.log_.end();
        return answer;
    }
    answer = answerOf(entry.tombstone_ ? UpstreamResult::Cancelled : UpstreamResult::Done, entry.answer_);
    entry.point_.term_ = statement.requiredTerm_;
    entry.key_ = statement.key_;
    entry.acknowledgedBelow_ = statement.acknowledgedBelow_;
    answer.point_ = member.log_.append(std::move(entry), now);
    return answer;
}

UpstreamAnswer GroupModel::runCommit(Link &link, const UpstreamStatement &statement, Time now)
{
    if (!link.transaction_ || !statement.key_) {
        return answerOf(UpstreamResult::NoTransaction);
    }
    LogEntry entry;
    entry.operations_ = std::move(link.transaction_->operations_);
    entry.answer_ = "committed";
    link.transaction_.reset();
    return runKeyed(members_[link.member_], statement, std::move(entry), now);
}

UpstreamAnswer GroupModel::runWrite(Link &link, const UpstreamStatement &statement, Time now)
{
    if (!statement.key_) {
        return link.transaction_ ? runStep(link, statement) : answerOf(UpstreamResult::NoTransaction);
    }
    if (link.transaction_) {
        return answerOf(UpstreamResult::NoTransaction);
    }
    const std::optional<Operation> operation = parseOperation(statement.body_);
    if (!operation || operation->kind_ == OperationKind::Get) {
        return answerOf(UpstreamResult::Rejected, "not a write");
    }
    Member &member = members_[link.member_];
    Values values = member.log_.values();
    LogEntry entry;
    entry.operations_ = {*operation};
    entry.answer_ = apply(values, *operation);
    return runKeyed(member, statement, std::move(entry), now);
}

} // namespace Figward::Standin
