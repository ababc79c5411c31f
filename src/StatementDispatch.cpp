#include "StatementDispatch.h"

#include "ConnectionSharing.h"
#include "CutOff.h"
#include "LoadShedding.h"
#include "MemberConnections.h"
#include "MemberEjections.h"
#include "OrganisationQuota.h"
#include "PlannedRevocation.h"
#include "ProxyState.h"
#include "ReadForwarding.h"
#include "SessionLookup.h"
#include "StatementNeeds.h"
#include "StatementOutcome.h"
#include "StatementPlacement.h"
#include "StatementSteps.h"

#include <algorithm>

namespace Figward {

namespace {

/** Time for which a member that refused a read as lagging is avoided for reads of the same or a higher position. */
constexpr Duration laggingAvoidTime = std::chrono::milliseconds(150);
/** The same for a refusal that another VM reported: a report and the leader's advice take up to two heartbeats. */
constexpr Duration sharedLagAvoidTime = std::chrono::milliseconds(600);
/** Time for which a member that refused a connection as full is avoided, so that other members take its share of the load. */
constexpr Duration fullAvoidTime = std::chrono::milliseconds(500);
/** Retry delay for clients in a zone that is cut off: by then the platform routes new connections to other zones, since it polls readiness once a second. */
constexpr Duration cutOffRetryDelay = std::chrono::milliseconds(2000);

/** Time within which a connection usually opens: it takes 12 ms of a slot, behind the statements that wait at the member. */
constexpr Duration expectedOpenTime = std::chrono::milliseconds(100);

/**
 * Whether the member accepts new statements. A leaving member stops a few seconds after it announces this, and statements that still run there are aborted. A
 * leaving replica gets no new statements, since other members can serve them. A leaving primary gets them until it is replaced, which takes about a second, but
 * no longer than the limit below.
 */
bool acceptsStatements(const MemberState &member, bool primary, Time now)
{
    constexpr Duration maxLeavingTime = std::chrono::milliseconds(3000);
    return !member.leavingSince_ || (primary && now - *member.leavingSince_ < maxLeavingTime);
}

/** Whether the connection was opened for the session's organisation. */
bool isForOrganisation(ProxyState &state, ConnectionId connection, const ClientSession &session)
{
    return findConnection(state, connection)->organisation_ == session.organisation_;
}

/** Whether the replica is expected to refuse a read that must include \p position, by a refusal here or, while connections are scarce, at any VM. */
bool isLagging(const SessionPolicies &policies, const MemberState &member, const LogPoint &position, bool scarce, Time now)
{
    const bool refusedHere = member.laggedBehind_ && position >= *member.laggedBehind_ && now - member.laggedAt_ < laggingAvoidTime;
    const bool refusedElsewhere = scarce && member.sharedLag_ && position >= *member.sharedLag_ && now - *member.sharedLagAt_ < sharedLagAvoidTime;
    return (policies.skipsLagging_ && refusedHere) || (policies.sharesLag_ && refusedElsewhere);
}

/** Removes the primary if a replica that is not known to be down may run the statement, even if that replica is full. */
void leaveToReplicas(ProxyState &state, std::vector<PlacementCandidate> &candidates)
{
    const auto isUsableReplica = [&](const PlacementCandidate &candidate) {
        return !candidate.primary_ && !candidate.lagging_ && !isUnavailable(*findMember(state, candidate.member_));
    };
    if (std::ranges::any_of(candidates, isUsableReplica)) {
        std::erase_if(candidates, [](const PlacementCandidate &candidate) { return candidate.primary_; });
    }
}

std::vector<PlacementCandidate> placementCandidates(ProxyState &state, const ClientSession &session, const SessionGroup &group, Time now)
{
    const StatementRun &run = *session.run_;
    const bool primaryOnly = needsPrimary(session, run);
    const std::optional<LogPoint> position = requiredReadPosition(session, group, now);
    const bool authority = mayStartAtPrimary(group, now);
    const SessionPolicies &policies = state.sessions_->identity_.policies_;
    std::vector<PlacementCandidate> candidates;
    for (const MemberId &id : group.members_) {
        MemberState *member = findMember(state, id);
        const bool primary = authority && group.authority_.primary_ == id;
        if (member == nullptr || (!primary && (primaryOnly || !position)) || !acceptsStatements(*member, primary, now)) {
            continue;
        }
        if (!primary && run.excludedMembers_.contains(id)) {
            continue;
        }
        PlacementCandidate candidate{.member_ = id};
        candidate.activeStatements_ = static_cast<unsigned>(member->connections_.size() - member->idle_.all_.size());
        candidate.sameZone_ = !policies.prefersOwnZone_ || member->entry_.zone_ == state.sessions_->identity_.vm_.zone_;
        candidate.leaving_ = member->entry_.leaving_;
        candidate.primary_ = primary;
        candidate.deprioritised_ = primary && policies.deprioritisesPrimary_;
        candidate.unavailable_ = isUnavailable(*member) || (member->refusedAt_ && now - *member->refusedAt_ < fullAvoidTime);
        const std::size_t matching = idleOf(member->idle_, session.organisation_).size();
        candidate.idleConnection_ = matching > 0;
        const bool hasIdleOfOthers = matching < member->idle_.all_.size();
        const ConnectionPlan plan = planFor(*state.sessions_, *member, now);
        candidate.temporaryConnections_ = plan.temporary_;
        candidate.lagging_ = !primary && position && isLagging(policies, *member, *position, plan.temporary_, now);
        const bool hasRoom = member->connections_.size() < connectionsAllowed(plan, now - run.arrived_);
        candidate.mayOpen_ = (hasRoom || hasIdleOfOthers) && now >= openingAllowedAt(*state.sessions_, group, *member, session, now);
        candidates.push_back(candidate);
    }
    if (!primaryOnly && leavesPrimary(*state.sessions_, group, session, now)) {
        leaveToReplicas(state, candidates);
    }
    return candidates;
}

/** Takes an idle connection of the session's organisation, preferably one with the session's values. There must be such a connection. */
ConnectionId takeIdle(ProxyState &state, MemberState &member, const ClientSession &session)
{
    const std::vector<ConnectionId> &usable = idleOf(member.idle_, session.organisation_);
    const auto hasSameValues = [&](ConnectionId id) { return findConnection(state, id)->values_ == session.values_; };
    const auto best = std::ranges::find_if(usable.rbegin(), usable.rend(), hasSameValues);
    const ConnectionId id = best == usable.rend() ? usable.back() : *best;
    removeIdle(member.idle_, id, session.organisation_);
    return id;
}

void startStatement(ProxyState &state, ClientSession &session, MemberConnection &connection, Time now, Effects &out)
{
    StatementRun &run = *session.run_;
    SessionGroup &group = *findGroup(state, session.route_.service_);
    const bool authority = group.authority_.primary_ == connection.member_ && mayStartAtPrimary(group, now);
    connection.use_ = MemberConnectionUse::Statement;
    connection.session_ = session.key_;
    run.connection_ = connection.id_;
    run.usesPrimary_ = authority;
    run.after_ = authority ? std::nullopt : requiredReadPosition(session, group, now);
    run.member_ = connection.member_;
    run.placedAt_ = run.attempts_ == 0 ? now : run.placedAt_;
    ++run.attempts_;
    if (session.state_ != TransactionState::None) {
        session.pinned_ = connection.id_;
    }
    connection.steps_ = stepsFor(session, connection);
    sendNextStep(state, connection, now, out);
}

/**
 * Whether no member that may run the statement is reachable, on a VM that is cut off or that, unlike other VMs, does not reach the primary. This usually lasts
 * many seconds. A statement held until its timeout would be refused when its client has no time left to try another VM.
 */
bool isUnservable(const ProxyState &state, const SessionGroup &group, const std::vector<PlacementCandidate> &candidates, Time now)
{
    const SessionServiceState &sessions = *state.sessions_;
    const bool noneReachable =
        std::ranges::none_of(candidates, [&](const PlacementCandidate &candidate) { return !candidate.primary_ || reachesPrimary(sessions, group, now); });
    return noneReachable && sessions.identity_.policies_.refusesWhenCutOff_ && (sessions.cutOff_ || isPrimaryHeardElsewhere(group, now));
}

/** Forecast of the time until this VM may use a primary of the group; absent while it may use one, or if it has never been allowed to use one. */
std::optional<WaitForecast> forecastPrimary(const SessionServiceState &sessions, const SessionGroup &group, Time now)
{
    if (holdsAuthority(group.authority_, now) || group.heldEpoch_ == 0) {
        return std::nullopt; // A VM that has just started usually gets authority within its first second.
    }
    // Authority that was lost since the last review of the group has not been recorded yet.
    const Duration elapsed = group.heldAuthority_ ? Duration(0) : now - group.authorityLostAt_;
    const bool isBeingReplaced = group.authority_.primary_ == MemberId(); // Revoked: its replacement is being chosen or promoted.
    return isBeingReplaced ? remainingOutage(sessions.outages_, elapsed) : WaitForecast{elapsed, false};
}

/** Forecast of the wait of a statement behind \p ahead others; absent if nothing is known. */
std::optional<WaitForecast>
forecastWait(const ProxyState &state, const SessionGroup &group, const std::vector<PlacementCandidate> &candidates, unsigned ahead, Time now)
{
    if (!state.sessions_->identity_.policies_.refusesByForecast_) {
        return std::nullopt;
    }
    if (candidates.empty()) {
        return forecastPrimary(*state.sessions_, group, now);
    }
    const bool anyIdle = std::ranges::any_of(candidates, &PlacementCandidate::idleConnection_);
    return anyIdle ? std::nullopt : remainingQueueTime(group.queue_, ahead, now);
}

/** Refuses the statement if no member is reachable or expected to run it before its deadline. Returns true if it was refused. */
bool refuseUnservable(ProxyState &state,
                      const SessionGroup &group,
                      ClientSession &session,
                      const std::vector<PlacementCandidate> &candidates,
                      unsigned ahead,
                      Time now,
                      Effects &out)
{
    if (isUnservable(state, group, candidates, now)) {
        refuseStatement(state, session, ReplyCode::Retry, retryAfterText(cutOffRetryDelay, "this VM is cut off from the members that may run it"), now, out);
        return true;
    }
    const StatementRun &run = *session.run_;
    const std::optional<WaitForecast> forecast = forecastWait(state, group, candidates, ahead, now);
    if (!forecast || shouldWait(*forecast, run.deadline_ - answerMargin, run.deadline_ - run.arrived_, now)) {
        return false;
    }
    recordWait(state, session, now);
    refuseStatement(state, session, ReplyCode::Retry, retryAfterText(forecast->remaining_, waitReason(state, session, now)), now, out);
    return true;
}

/**
 * Opens a connection for the statement, unless a suitable one is already being opened. At the limit, an idle connection of another organisation is closed
 * first.
 */
void openConnectionFor(ProxyState &state, const SessionGroup &group, ClientSession &session, MemberState &member, Time now, Effects &out)
{
    const auto isOpeningForSame = [&](ConnectionId id) {
        return findConnection(state, id)->use_ == MemberConnectionUse::Opening && isForOrganisation(state, id, session);
    };
    if (std::ranges::any_of(member.connections_, isOpeningForSame) || !mayOpenAnother(*state.sessions_, group, member, now)) {
        return;
    }
    const ConnectionPlan plan = planFor(*state.sessions_, member, now);
    if (member.connections_.size() >= connectionsAllowed(plan, now - session.run_->arrived_)) {
        closeOldestOfOthers(state, member, session.organisation_, out);
    }
    session.run_->opening_ = openStatementConnection(state, member, session.organisation_, now, out);
}

/**
 * Whether the connection that was opened for the statement is expected to open soon. Where reads are forwarded, each connection takes up one that an
 * organisation could keep, so a statement does not open a second one at another member meanwhile.
 */
bool awaitsOpening(ProxyState &state, const ClientSession &session, Time now)
{
    const std::optional<ConnectionId> &opening = session.run_->opening_;
    const MemberConnection *connection = opening ? findConnection(state, *opening) : nullptr;
    return connection != nullptr && connection->use_ == MemberConnectionUse::Opening && now - connection->sentAt_ < expectedOpenTime
           && forwardsReads(*state.sessions_, session.route_.service_);
}

/** Forwards the statement to another VM, or refuses a read of another VM that this one cannot serve. Returns true if this VM does not run it. */
bool runsElsewhere(ProxyState &state,
                   const SessionGroup &group,
                   ClientSession &session,
                   const std::vector<PlacementCandidate> &candidates,
                   Time now,
                   Effects &out)
{
    if (session.sender_) {
        const bool isReachable =
            std::ranges::any_of(candidates, [&](const PlacementCandidate &candidate) { return !isUnavailable(*findMember(state, candidate.member_)); });
        if (isReachable && !isUnservable(state, group, candidates, now)) {
            return false;
        }
        refuseForwardedRead(state, session, now, out);
        return true;
    }
    return std::ranges::none_of(candidates, &PlacementCandidate::idleConnection_) && forwardRead(state, session, now, out);
}

/** Places the statement, opens a connection for it, refuses it, or leaves it waiting behind \p ahead others. Returns true if it still waits. */
bool dispatchStatement(ProxyState &state, SessionGroup &group, ClientSession &session, unsigned ahead, Time now, Effects &out)
{
    if (now < session.run_->notBefore_) {
        return true;
    }
    std::vector<PlacementCandidate> candidates = placementCandidates(state, session, group, now);
    withholdEjected(state, session, group, candidates, now);
    if (runsElsewhere(state, group, session, candidates, now, out) || refuseUnservable(state, group, session, candidates, ahead, now, out)) {
        return false;
    }
    const Placement placement = placeStatement(candidates);
    if (placement.open_ && !awaitsOpening(state, session, now)) {
        openConnectionFor(state, group, session, *findMember(state, *placement.open_), now, out);
    }
    if (!placement.run_) {
        return true;
    }
    MemberState &member = *findMember(state, *placement.run_);
    takeStatement(group.waiting_, session.key_);
    recordStart(group.queue_, now);
    if (!session.sender_) { // The VM of the client has recorded it.
        recordUse(member.use_, now);
    }
    startStatement(state, session, *findConnection(state, takeIdle(state, member, session)), now, out);
    return false;
}

} // namespace

std::string waitReason(ProxyState &state, const ClientSession &session, Time now)
{
    if (isAwaitingPermit(*state.sessions_, session)) {
        return "no VM that holds the organisation's quota has answered";
    }
    const SessionGroup *group = findGroup(state, session.route_.service_);
    if (group == nullptr || group->members_.empty()) {
        return "no member of its group is known";
    }
    if (!placementCandidates(state, session, *group, now).empty()) {
        return session.run_->attempts_ == 0 ? "all connections to the members that may run it are in use"
                                            : "the members that may run it refused it or were silent";
    }
    return needsPrimary(session, *session.run_) ? "no primary may be used at present" : "no member is known to be fresh enough";
}

void dispatchStatements(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    const std::vector<SessionKey> waiting = startOrder(group.waiting_);
    unsigned ahead = 0;
    for (const SessionKey key : waiting) {
        ClientSession *session = findSession(state, key);
        if (session != nullptr && session->run_ && !session->run_->connection_) {
            ahead += dispatchStatement(state, group, *session, ahead, now, out) ? 1 : 0;
        }
    }
    recordWaiting(group.queue_, countWaiting(group.waiting_) > 0, now);
}

} // namespace Figward
