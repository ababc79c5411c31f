#include "StatementSteps.h"

#include <absl/strings/str_cat.h>

namespace Figward {

namespace {

/** Name of a prepared statement at members. It is the same for all sessions that prepare the same shape, so that they can share connections. */
std::string sharedName(const PreparedStatement &prepared)
{
    return absl::StrCat(prepared.writes_ ? "w" : "r", prepared.shape_);
}

void addValues(const ClientSession &session, const MemberConnection &connection, std::deque<MemberRequest> &steps)
{
    const auto isStale = [&](const auto &value) { return !session.values_.contains(value.first); };
    const bool hasStale = std::ranges::any_of(connection.values_, isStale);
    if (hasStale) {
        steps.push_back(MemberRequest{.verb_ = MemberVerb::Reset});
    }
    for (const auto &[name, value] : session.values_) {
        const auto current = connection.values_.find(name);
        if (hasStale || current == connection.values_.end() || current->second != value) {
            MemberRequest set{.verb_ = MemberVerb::Set};
            set.name_ = name;
            set.value_ = value;
            steps.push_back(std::move(set));
        }
    }
}

MemberRequest statementRequest(const ClientSession &session, const StatementRun &run)
{
    MemberRequest request;
    request.id_ = run.statement_.id_;
    if (run.statement_.kind_ == StatementKind::Commit) {
        request.verb_ = MemberVerb::Commit;
    } else if (run.statement_.kind_ == StatementKind::Execute) {
        request.verb_ = MemberVerb::Execute;
        request.name_ = sharedName(session.prepared_.at(run.statement_.name_));
        request.value_ = run.statement_.value_;
    } else {
        request.verb_ = MemberVerb::Forward;
        request.text_ = run.statement_.text_;
    }
    return request;
}

void addPrepare(const ClientSession &session, const MemberConnection &connection, std::deque<MemberRequest> &steps)
{
    if (session.run_->statement_.kind_ != StatementKind::Execute) {
        return;
    }
    const PreparedStatement &prepared = session.prepared_.at(session.run_->statement_.name_);
    const bool resets = !steps.empty() && steps.front().verb_ == MemberVerb::Reset;
    if (connection.prepared_.contains(sharedName(prepared)) && !resets) {
        return;
    }
    MemberRequest prepare{.verb_ = MemberVerb::Prepare};
    prepare.name_ = sharedName(prepared);
    prepare.value_ = prepared.shape_;
    prepare.writes_ = prepared.writes_;
    steps.push_back(std::move(prepare));
}

} // namespace

bool isStatement(const MemberRequest &request)
{
    return request.verb_ == MemberVerb::Forward || request.verb_ == MemberVerb::Execute || request.verb_ == MemberVerb::Commit;
}

std::deque<MemberRequest> stepsFor(const ClientSession &session, const MemberConnection &connection)
{
    const StatementRun &run = *session.run_;
    std::deque<MemberRequest> steps;
    addValues(session, connection, steps);
    addPrepare(session, connection, steps);
    MemberRequest statement = statementRequest(session, run);
    if (session.state_ == TransactionState::Open && !connection.inTransaction_) {
        MemberRequest begin{.verb_ = session.readOnly_ ? MemberVerb::BeginRead : MemberVerb::Begin};
        begin.id_ = session.beginId_;
        begin.after_ = run.after_;
        steps.push_back(std::move(begin));
    } else if (session.state_ == TransactionState::None && statement.verb_ != MemberVerb::Commit) {
        statement.after_ = run.after_;
    }
    steps.push_back(std::move(statement));
    return steps;
}

} // namespace Figward
