#include "StatementLog.h"

#include "ProxyState.h"
#include "SessionLookup.h"
#include "StatementNeeds.h"

#include <absl/strings/str_cat.h>

namespace Figward {

namespace {

/** A statement that takes longer is logged as slow: latency targets of interactive work are below this. */
constexpr Duration slowStatement = std::chrono::milliseconds(500);

std::string millisBetween(Time from, Time to)
{
    return from == Time() ? "-" : absl::StrCat(toMillis(to - from));
}

std::string positionText(const std::optional<LogPoint> &point)
{
    return point ? absl::StrCat(point->term_.value(), ".", point->position_.value()) : "-";
}

/** Inputs of the choice of a member, with their age or version. */
std::vector<LogField> placementInputs(ProxyState &state, const ClientSession &session, const StatementRun &run, Time now)
{
    const SessionGroup *group = findGroup(state, session.route_.service_);
    const PrimaryAuthority authority = group == nullptr ? PrimaryAuthority() : group->authority_;
    const std::optional<SessionConfiguration> &configuration = state.sessions_->configuration_;
    return {{"member", run.member_ == MemberId() ? "-" : run.member_.value()},
            {"primary", run.usesPrimary_ ? "yes" : "no"},
            {"after", positionText(run.after_)},
            {"epoch", absl::StrCat(authority.epoch_)},
            // Remaining time for which the primary may be used; negative if it has expired.
            {"authority_ms", authority.validUntil_ == Time() ? "-" : absl::StrCat(toMillis(authority.validUntil_ - now))},
            {"configuration", configuration ? absl::StrCat(configuration->version_.value()) : "-"}};
}

WriteLog
makeLogLine(ProxyState &state, const ClientSession &session, const StatementRun &run, LogNumber number, std::string outcome, std::string reason, Time now)
{
    WriteLog line{number,
                  {{"id", run.statement_.id_},
                   {"session", absl::StrCat(session.key_.value())},
                   {"database", session.database_},
                   {"outcome", std::move(outcome)},
                   {"reason", std::move(reason)},
                   {"tries", absl::StrCat(run.attempts_)},
                   {"ms", absl::StrCat(toMillis(now - run.arrived_))},
                   {"wait_ms", millisBetween(run.placedAt_ == Time() ? Time() : run.arrived_, run.placedAt_)},
                   {"member_ms", millisBetween(run.sentAt_, now)}}};
    for (LogField &field : placementInputs(state, session, run, now)) {
        line.fields_.push_back(std::move(field));
    }
    if (session.organisation_ != OrganisationId()) {
        line.fields_.push_back({"organisation", session.organisation_.value()});
    }
    if (run.forward_) {
        line.fields_.push_back({"holder", run.forward_->holder_});
    }
    if (session.sender_) {
        line.fields_.push_back({"sender", session.sender_->name_});
    }
    return line;
}

/** Where a statement in progress is. */
std::string stageOf(const StatementRun &run)
{
    if (run.forward_) {
        return "forwarded";
    }
    if (run.sent_) {
        return "at-member";
    }
    return run.connection_ ? "preparing" : "waiting";
}

/** Why the drain let the current statement of \p session through. */
std::string reasonTaken(const ClientSession &session, Duration afterDrain)
{
    if (afterDrain < Duration(0)) {
        return "arrived before the drain";
    }
    return session.state_ == TransactionState::None ? "a new operation during the drain" : "part of an open transaction";
}

LogNumber numberOf(const StatementRun &run, ReplyCode code, Time now)
{
    if (code == ReplyCode::None) {
        const bool ordinary = run.attempts_ <= 1 && now - run.arrived_ <= slowStatement;
        return ordinary ? LogNumber::StatementDone : LogNumber::StatementSlow;
    }
    return code == ReplyCode::InDoubt ? LogNumber::StatementInDoubt : LogNumber::StatementRefused;
}

} // namespace

void logOutcome(ProxyState &state, const ClientSession &session, const StatementRun &run, const SessionReply &reply, Time now, Effects &out)
{
    out.emplace_back(makeLogLine(state, session, run, numberOf(run, reply.code_, now), toString(reply.code_), reply.text_, now));
    if (session.sender_) {
        return; // The VM of the client counts the statement.
    }
    StatementEnded ended;
    ended.consistency_ = session.route_.consistency_;
    ended.writes_ = isWrite(session, run.statement_) || run.statement_.kind_ == StatementKind::Commit;
    ended.code_ = reply.code_;
    ended.usedPrimary_ = run.usesPrimary_;
    ended.forwarded_ = run.forward_.has_value();
    ended.attempts_ = run.attempts_;
    ended.total_ = now - run.arrived_;
    ended.waiting_ = (run.placedAt_ == Time() ? now : run.placedAt_) - run.arrived_;
    ended.atMember_ = run.sentAt_ == Time() ? std::nullopt : std::optional(now - run.sentAt_);
    out.emplace_back(SessionEffect(ended));
}

void logRetry(ProxyState &state, const ClientSession &session, const std::string &reason, Time now, Effects &out)
{
    out.emplace_back(makeLogLine(state, session, *session.run_, LogNumber::StatementRetried, "retried", reason, now));
}

void logUnfinished(ProxyState &state, const ClientSession &session, Time now, Effects &out)
{
    const StatementRun &run = *session.run_;
    const Duration afterDrain = run.arrived_ - state.sessions_->drainSince_.value_or(run.arrived_);
    WriteLog line = makeLogLine(state, session, run, LogNumber::DrainUnfinished, stageOf(run), reasonTaken(session, afterDrain), now);
    line.fields_.push_back({"after_drain_ms", absl::StrCat(toMillis(afterDrain))});
    line.fields_.push_back({"queued", absl::StrCat(session.queued_.size())});
    out.emplace_back(std::move(line));
}

} // namespace Figward
