#include "MemberConnections.h"

#include "ConnectionSharing.h"
#include "Event.h"
#include "LoadShedding.h"
#include "MemberEjections.h"
#include "ProxyState.h"
#include "SessionLookup.h"
#include "StatementAnswers.h"
#include "StatementSteps.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward {

namespace {

/** Timeout of a connection attempt. Opening takes a member about 12 ms, and packets to a VM that is gone stay unanswered. */
constexpr Duration openTimeout = std::chrono::milliseconds(1000);
/** Backoff after the first failed connection attempt to a member; doubles with each further failure. */
constexpr Duration openBackoff = std::chrono::milliseconds(100);
constexpr unsigned maxBackoffDoublings = 3;
/**
 * Backoff after the member refused as full: other VMs free a connection every few milliseconds. A random delay of up to this is added, to spread the VMs'
 * attempts.
 */
constexpr Duration fullBackoff = std::chrono::milliseconds(20);
/** Time without an answer to a control request after which its connection is closed: a report occupies a slot of the member only briefly. */
constexpr Duration controlTimeout = std::chrono::milliseconds(700);
/** Time without an answer after which a released connection is closed. */
constexpr Duration releaseTimeout = std::chrono::milliseconds(1500);
/** Idle time after which a control connection is closed. */
constexpr Duration controlIdleTimeout = std::chrono::seconds(20);
/** The same when connections to the member are scarce: an idle connection for reports is one that no statement can use. */
constexpr Duration scarceControlIdleTimeout = std::chrono::seconds(1);

void recordResponse(MemberState &member)
{
    member.consecutiveTimeouts_ = 0;
    member.unreachable_ = false;
}

void makeIdle(ProxyState &state, MemberConnection &connection, Time now)
{
    connection.use_ = MemberConnectionUse::Idle;
    connection.session_.reset();
    connection.inTransaction_ = false;
    connection.idleSince_ = now;
    MemberState *member = findMember(state, connection.member_);
    if (member != nullptr && !connection.isControl_) {
        addIdle(member->idle_, connection.id_, connection.organisation_);
    }
}

void recordOpenFailure(ProxyState &state, MemberState &member, ConnectionEnd end, Time now)
{
    const unsigned doublings = std::min(member.openFailures_, maxBackoffDoublings);
    const Duration jitter(static_cast<std::int64_t>(state.random_() % static_cast<std::uint64_t>(fullBackoff.count())));
    const Duration backoff = end == ConnectionEnd::Refused ? fullBackoff + jitter : openBackoff;
    member.openAfter_ = now + backoff * (1U << doublings);
    member.urgentOpenAfter_ = member.openAfter_;
    ++member.openFailures_;
    member.connectionRefused_ = end == ConnectionEnd::Unreachable;
    if (end == ConnectionEnd::Refused) {
        // A member that refuses as full is alive and reachable.
        member.refusedAt_ = now;
        recordFullRefusal(*state.sessions_, member, backoff, now);
        recordResponse(member);
    } else {
        member.unreachable_ = true;
    }
}

/**
 * Logs a failed connection attempt with its purpose, the connections that this VM holds and its share. This shows whether the VM exceeded its share, or other
 * VMs hold more than theirs.
 */
void logOpenFailure(const SessionServiceState &sessions, const MemberState &member, bool isControl, ConnectionEnd end, Time now, Effects &out)
{
    const bool known = sessions.configuration_.has_value();
    out.emplace_back(WriteLog{LogNumber::UpstreamConnectFailed,
                              {{"member", member.entry_.id_.value()},
                               {"reason", end == ConnectionEnd::Refused ? "refused" : "unreachable"},
                               {"failures", absl::StrCat(member.openFailures_)},
                               {"for", isControl ? "reports" : "statements"},
                               {"held", absl::StrCat(member.connections_.size())},
                               {"idle", absl::StrCat(member.idle_.all_.size())},
                               {"reports", member.control_ ? "1" : "0"},
                               {"allowed", known ? absl::StrCat(planFor(sessions, member, now).maxOpen_) : "-"},
                               {"vms", absl::StrCat(sessions.entryVms_)}}});
}

/** Whether \p position, in an answer on \p connection, is lower than what the member had reached before the request was sent. */
bool hasLostLog(const MemberConnection &connection, const LogPoint &position)
{
    return connection.knownPosition_ && position < *connection.knownPosition_;
}

/**
 * Revokes the authority over a primary that was started again without its log. The directory tells of the restart only seconds later, and until then every VM
 * would read from it. The leader learns the higher epoch by heartbeat and replaces the primary.
 */
void revokeLostPrimary(SessionGroup &group, const MemberConnection &connection, const LogPoint &position, Effects &out)
{
    if (group.authority_.primary_ != connection.member_) {
        return;
    }
    revokeAuthority(group.authority_, group.authority_.epoch_ + 1);
    out.emplace_back(WriteLog{LogNumber::PrimaryLostLog,
                              {{"group", group.id_.value()},
                               {"primary", connection.member_.value()},
                               {"epoch", absl::StrCat(group.authority_.epoch_)},
                               {"position", toString(position)},
                               {"known", toString(*connection.knownPosition_)}}});
}

/** Position that the member of \p connection is known to have reached as its group's primary; absent if it is not the primary or none is known. */
std::optional<LogPoint> knownPrimaryPosition(ProxyState &state, const MemberConnection &connection)
{
    const SessionGroup *group = findGroup(state, connection.service_);
    if (group == nullptr || group->authority_.primary_ != connection.member_) {
        return std::nullopt;
    }
    return reachedInEpoch(group->progress_, group->authority_.epoch_);
}

void recordReply(ProxyState &state, const MemberConnection &connection, const MemberReplyArrived &replied, Time now, Effects &out)
{
    MemberState *member = findMember(state, connection.member_);
    if (member == nullptr || connection.memberStarted_ != member->entry_.started_) {
        return; // The answer of a previous process says nothing about the current one.
    }
    member->lastAnsweredAt_ = std::max(member->lastAnsweredAt_.value_or(connection.sentAt_), connection.sentAt_);
    recordResponse(*member);
    if (replied.report_) {
        member->report_ = replied.report_;
        member->reportAsOf_ = connection.sentAt_;
    }
    if (!replied.reply_.position_) {
        return;
    }
    member->position_ = std::max(member->position_, *replied.reply_.position_);
    SessionGroup *group = findGroup(state, connection.service_);
    if (group != nullptr && hasLostLog(connection, *replied.reply_.position_)) {
        revokeLostPrimary(*group, connection, *replied.reply_.position_, out);
    }
    if (group != nullptr) {
        observeTerm(group->authority_, replied.reply_.position_->term_);
    }
    if (group != nullptr && holdsAuthority(group->authority_, connection.member_, now)) {
        addSample(group->samples_, {connection.sentAt_, *replied.reply_.position_});
        recordProgress(group->progress_, group->authority_.epoch_, *replied.reply_.position_);
    }
}

void removeConnection(ProxyState &state, ConnectionId id)
{
    const auto found = state.sessions_->connections_.find(id);
    if (found == state.sessions_->connections_.end()) {
        return;
    }
    if (MemberState *member = findMember(state, found->second.member_)) {
        member->connections_.erase(id);
        removeIdle(member->idle_, id, found->second.organisation_);
        if (member->control_ == id) {
            member->control_.reset();
        }
    }
    state.sessions_->connections_.erase(found);
}

/** Updates the state of the connection after a request succeeded. */
void applyStep(MemberConnection &connection, const MemberRequest &request)
{
    switch (request.verb_) {
    case MemberVerb::Reset:
        connection.values_.clear();
        connection.prepared_.clear();
        break;
    case MemberVerb::Set:
        connection.values_[request.name_] = request.value_;
        break;
    case MemberVerb::Prepare:
        connection.prepared_.insert(request.name_);
        break;
    case MemberVerb::Begin:
    case MemberVerb::BeginRead:
        connection.inTransaction_ = true;
        break;
    default:
        break;
    }
}

MemberConnection newConnection(ProxyState &state, const MemberState &member, Time now)
{
    MemberConnection connection{.id_ = ConnectionId(allocateId(state)), .member_ = member.entry_.id_, .service_ = member.entry_.service_};
    connection.memberStarted_ = member.entry_.started_;
    connection.sentAt_ = now;
    return connection;
}

void open(ProxyState &state, const MemberState &member, MemberConnection connection, Effects &out)
{
    out.emplace_back(OpenConnection{connection.id_, member.entry_.id_, member.entry_.address_, member.entry_.service_, connection.organisation_});
    state.sessions_->connections_.emplace(connection.id_, std::move(connection));
}

void openControlConnection(ProxyState &state, MemberState &member, Time now, Effects &out)
{
    MemberConnection connection = newConnection(state, member, now);
    connection.isControl_ = true;
    member.control_ = connection.id_;
    open(state, member, std::move(connection), out);
}

MemberConnection *controlConnection(ProxyState &state, MemberState &member, Time now, Effects &out)
{
    if (member.control_) {
        return findConnection(state, *member.control_);
    }
    if (!member.idle_.all_.empty()) {
        MemberConnection *connection = findConnection(state, member.idle_.all_.back());
        removeIdle(member.idle_, connection->id_, connection->organisation_);
        return connection;
    }
    if (now >= member.openAfter_) {
        openControlConnection(state, member, now, out);
        return findConnection(state, *member.control_);
    }
    return nullptr;
}

void sendControlRequest(ProxyState &state, MemberState &member, MemberRequest request, Time now, Effects &out)
{
    MemberConnection *connection = controlConnection(state, member, now, out);
    if (connection == nullptr) {
        return;
    }
    const bool isQueued = std::ranges::any_of(connection->steps_, [&](const MemberRequest &step) { return step.verb_ == request.verb_; });
    if (!isQueued && !(connection->pending_ && connection->pending_->verb_ == request.verb_)) {
        connection->steps_.push_back(std::move(request));
    }
    if (connection->use_ == MemberConnectionUse::Idle) {
        connection->use_ = MemberConnectionUse::Control;
        sendNextStep(state, *connection, now, out);
    }
}

bool isTimedOut(const MemberConnection &connection, Time now)
{
    switch (connection.use_) {
    case MemberConnectionUse::Opening:
        return now - connection.sentAt_ > openTimeout;
    case MemberConnectionUse::Control:
        return connection.pending_ && now - connection.sentAt_ > controlTimeout;
    case MemberConnectionUse::Releasing:
        return connection.pending_ && now - connection.sentAt_ > releaseTimeout;
    case MemberConnectionUse::Idle:
    case MemberConnectionUse::Statement:
        return false; // Handled by the deadline of the statement.
    }
    return false;
}

void closeIdleControl(ProxyState &state, const MemberState &member, Duration maxIdleTime, Time now, Effects &out)
{
    const MemberConnection *control = member.control_ ? findConnection(state, *member.control_) : nullptr;
    if (control != nullptr && control->use_ == MemberConnectionUse::Idle && now - control->idleSince_ > maxIdleTime) {
        closeMemberConnection(state, control->id_, out);
    }
}

/** Closes one connection above the idle limit, and the control connection, if their idle timeouts have expired. */
void closeSurplus(ProxyState &state, MemberState &member, Time now, Effects &out)
{
    if (member.idle_.all_.empty() && !member.control_) {
        return;
    }
    const ConnectionPlan plan = planFor(*state.sessions_, member, now);
    closeIdleControl(state, member, plan.temporary_ ? scarceControlIdleTimeout : controlIdleTimeout, now, out);
    if (member.idle_.all_.empty()) {
        return;
    }
    if (member.connections_.size() > plan.maxIdle_ && now - findConnection(state, member.idle_.all_.front())->idleSince_ > plan.idleTimeout_) {
        closeMemberConnection(state, member.idle_.all_.front(), out);
    }
}

} // namespace

bool isUnavailable(const MemberState &member)
{
    return member.consecutiveTimeouts_ > 0 || member.unreachable_;
}

ConnectionId openStatementConnection(ProxyState &state, MemberState &member, const OrganisationId &organisation, Time now, Effects &out)
{
    MemberConnection connection = newConnection(state, member, now);
    connection.organisation_ = organisation;
    const ConnectionId id = connection.id_;
    member.connections_.insert(id);
    open(state, member, std::move(connection), out);
    return id;
}

bool closeOldestOfOthers(ProxyState &state, const MemberState &member, const OrganisationId &organisation, Effects &out)
{
    const std::vector<ConnectionId> &own = idleOf(member.idle_, organisation);
    const auto isOfAnother = [&](ConnectionId id) { return std::ranges::find(own, id) == own.end(); };
    const auto oldest = std::ranges::find_if(member.idle_.all_, isOfAnother); // The connection that has been idle longest comes first.
    if (oldest == member.idle_.all_.end()) {
        return false;
    }
    closeMemberConnection(state, *oldest, out);
    return true;
}

void onMemberConnected(ProxyState &state, ConnectionId id, Time now, Effects &out)
{
    MemberConnection *connection = findConnection(state, id);
    if (connection == nullptr) {
        return;
    }
    if (MemberState *member = findMember(state, connection->member_)) {
        member->openFailures_ = 0;
        member->fullRefusals_ -= std::min(member->fullRefusals_, 1U);
        member->connectionRefused_ = false;
        recordResponse(*member);
        member->lastAnsweredAt_ = std::max(member->lastAnsweredAt_.value_or(connection->sentAt_), connection->sentAt_);
    }
    makeIdle(state, *connection, now);
    if (connection->isControl_ && !connection->steps_.empty()) {
        connection->use_ = MemberConnectionUse::Control;
        sendNextStep(state, *connection, now, out);
    }
}

void onMemberDisconnected(ProxyState &state, const ConnectionLost &lost, Time now, Effects &out)
{
    const MemberConnection *found = findConnection(state, lost.connection_);
    if (found == nullptr) {
        return;
    }
    const MemberConnection connection = *found;
    removeConnection(state, lost.connection_);
    MemberState *member = findMember(state, connection.member_);
    if (member != nullptr && connection.use_ == MemberConnectionUse::Opening) {
        recordOpenFailure(state, *member, lost.end_, now);
        logOpenFailure(*state.sessions_, *member, connection.isControl_, lost.end_, now, out);
        if (lost.end_ == ConnectionEnd::Refused) {
            // The member is full: closing an idle connection of another organisation makes room for the next attempt.
            closeOldestOfOthers(state, *member, connection.organisation_, out);
        } else if (!connection.isControl_) {
            countFailedOpening(state, *member, now);
        }
    }
    if (member != nullptr && connection.use_ != MemberConnectionUse::Opening) {
        // The member may have been started again without its log; a successor is not chosen by what it reported before.
        member->report_.reset();
    }
    if (connection.session_) {
        onSessionConnectionLost(state, *connection.session_, connection.member_, now, out);
    }
}

void onMemberReply(ProxyState &state, const MemberReplyArrived &replied, Time now, Effects &out)
{
    MemberConnection *connection = findConnection(state, replied.connection_);
    if (connection == nullptr) {
        return;
    }
    if (!connection->pending_) {
        // An answer without a request: a later answer could be taken for that to another statement, so the connection is closed.
        const MemberConnection closed = *connection;
        closeMemberConnection(state, closed.id_, out);
        if (closed.session_) {
            onSessionConnectionLost(state, *closed.session_, closed.member_, now, out);
        }
        return;
    }
    recordReply(state, *connection, replied, now, out);
    const MemberRequest request = *std::exchange(connection->pending_, std::nullopt);
    if (replied.reply_.code_ == ReplyCode::None) {
        applyStep(*connection, request);
    }
    connection->inTransaction_ = replied.reply_.state_ != TransactionState::None;
    if (connection->use_ == MemberConnectionUse::Statement) {
        onStepAnswered(state, *connection, request, replied.reply_, now, out);
        return;
    }
    if (!connection->steps_.empty()) {
        sendNextStep(state, *connection, now, out);
    } else if (connection->inTransaction_) {
        closeMemberConnection(state, connection->id_, out);
    } else {
        makeIdle(state, *connection, now);
    }
}

void sendNextStep(ProxyState &state, MemberConnection &connection, Time now, Effects &out)
{
    if (connection.pending_ || connection.steps_.empty()) {
        return;
    }
    MemberRequest step = connection.steps_.front();
    if (connection.use_ == MemberConnectionUse::Statement && !mayStillSend(state, connection, step, now, out)) {
        return;
    }
    connection.steps_.pop_front();
    connection.pending_ = step;
    connection.sentAt_ = now;
    connection.knownPosition_ = knownPrimaryPosition(state, connection);
    out.emplace_back(SessionEffect(SendToMember{connection.id_, std::move(step)}));
}

void closeMemberConnection(ProxyState &state, ConnectionId connection, Effects &out)
{
    removeConnection(state, connection);
    out.emplace_back(CloseConnection{connection});
}

void releaseMemberConnection(ProxyState &state, ConnectionId id, Time now, Effects &out)
{
    MemberConnection *connection = findConnection(state, id);
    if (connection == nullptr) {
        return;
    }
    connection->session_.reset();
    connection->steps_.clear();
    if (connection->pending_) {
        if (connection->inTransaction_ || !isStatement(*connection->pending_)) {
            closeMemberConnection(state, id, out);
        } else {
            connection->use_ = MemberConnectionUse::Releasing;
        }
        return;
    }
    if (connection->inTransaction_) {
        connection->use_ = MemberConnectionUse::Releasing;
        connection->steps_.push_back(MemberRequest{.verb_ = MemberVerb::Rollback});
        sendNextStep(state, *connection, now, out);
        return;
    }
    makeIdle(state, *connection, now);
}

void askMemberReport(ProxyState &state, MemberState &member, Time now, Effects &out)
{
    member.lastReportRequestAt_ = now;
    sendControlRequest(state, member, MemberRequest{.verb_ = MemberVerb::Status}, now, out);
}

void askStepDown(ProxyState &state, MemberState &member, Term term, Time now, Effects &out)
{
    MemberRequest request{.verb_ = MemberVerb::StepDown};
    request.term_ = term;
    sendControlRequest(state, member, std::move(request), now, out);
}

void reviewMemberConnections(ProxyState &state, Time now, Effects &out)
{
    std::set<MemberId> connected;
    for (const auto &[id, connection] : state.sessions_->connections_) {
        connected.insert(connection.member_);
    }
    for (const MemberId &id : connected) {
        MemberState *member = findMember(state, id);
        if (member != nullptr && state.sessions_->configuration_) {
            closeEjected(state, *member, now, out);
            closeSurplus(state, *member, now, out);
        }
    }
    std::vector<ConnectionId> timedOut;
    std::vector<ConnectionId> orphaned;
    for (const auto &[id, connection] : state.sessions_->connections_) {
        if (isTimedOut(connection, now)) {
            timedOut.push_back(id);
        } else if (connection.use_ == MemberConnectionUse::Idle && findMember(state, connection.member_) == nullptr) {
            orphaned.push_back(id);
        }
    }
    for (const ConnectionId id : orphaned) {
        closeMemberConnection(state, id, out);
    }
    for (const ConnectionId id : timedOut) {
        const MemberConnection connection = *findConnection(state, id);
        MemberState *member = findMember(state, connection.member_);
        if (member != nullptr) {
            ++member->consecutiveTimeouts_;
            if (connection.use_ == MemberConnectionUse::Opening) {
                recordOpenFailure(state, *member, ConnectionEnd::Closed, now);
                if (!connection.isControl_) {
                    countFailedOpening(state, *member, now);
                }
            }
        }
        closeMemberConnection(state, id, out);
    }
}

} // namespace Figward
