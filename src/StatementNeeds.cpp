#include "StatementNeeds.h"

#include <algorithm>

namespace Figward {

bool isWrite(const ClientSession &session, const ClientStatement &statement)
{
    if (statement.kind_ == StatementKind::Execute) {
        const auto found = session.prepared_.find(statement.name_);
        return found != session.prepared_.end() && found->second.writes_;
    }
    return statement.kind_ == StatementKind::Write;
}

bool changesDatabase(const ClientSession &session, const StatementRun &run)
{
    if (session.state_ == TransactionState::None) {
        return isWrite(session, run.statement_);
    }
    return run.statement_.kind_ == StatementKind::Commit && session.wrote_;
}

bool needsPrimary(const ClientSession &session, const StatementRun &run)
{
    if (session.state_ == TransactionState::None) {
        return session.route_.consistency_ == Consistency::Primary || isWrite(session, run.statement_);
    }
    return session.route_.consistency_ == Consistency::Primary || !session.readOnly_;
}

std::optional<LogPoint> requiredReadPosition(const ClientSession &session, const SessionGroup &group, Time now)
{
    std::optional<LogPoint> floor = requiredPosition(group.samples_, session.route_.maxStaleness_, now);
    if (floor && session.lastCommit_) {
        floor = std::max(*floor, *session.lastCommit_);
    }
    return floor;
}

bool isStatementRetryable(const ClientSession &session)
{
    const StatementRun &run = *session.run_;
    if (session.state_ == TransactionState::None) {
        return !run.sent_ || !changesDatabase(session, run);
    }
    return run.first_ && !run.sent_;
}

} // namespace Figward
