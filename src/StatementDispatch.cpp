#include "StatementDispatch.h"

#include "ConnectionSharing.h"
#include "CutOff.h"
#include "MemberConnections.h"
#include "OrganisationQuota.h"
#include "ProxyState.h"
#include "SessionLookup.h"
#include "StatementNeeds.h"
#include "StatementOutcome.h"
#include "StatementPlacement.h"
#include "StatementSteps.h"

#include <algorithm>
#include <utility>

namespace Figward {

namespace {

/** A member that refused a read as lagging is passed over for this long for positions as high. */
constexpr Duration laggingPause = std::chrono::milliseconds(150);
/** A member that refused a connection as full is passed over for this long, so that others take its part meanwhile. */
constexpr Duration fullTime = std::chrono::milliseconds(500);
/** Clients whose zone is cut off should come back after this: by then new connections are sent to other zones, since readiness is asked for once a second. */
constexpr Duration otherZonesAfter = std::chrono::milliseconds(2000);

/**
 * A member that leaves ends some seconds after it said so, and what still runs there is cut. Replicas get nothing new at once, since others can do their work;
 * a primary does until it is replaced, which takes about a second, and in any case not for longer than a few.
 */
bool takesNewWork(const MemberState &member, bool primary, Time now)
{
    constexpr Duration lastWork = std::chrono::milliseconds(3000);
    return !member.leavingSince_ || (primary && now - *member.leavingSince_ < lastWork);
}

/** Whether the member was told, when the connection was opened, that it runs for the session's organisation. */
bool serves(ProxyState &state, ConnectionId connection, const ClientSession &session)
{
    return findConnection(state, connection)->organisation_ == session.organisation_;
}

std::vector<PlacementOption> placementOptions(ProxyState &state, const ClientSession &session, const SessionGroup &group, Time now)
{
    const StatementRun &run = *session.run_;
    const bool primaryOnly = needsPrimary(session, run);
    const std::optional<LogPoint> floor = readFloor(session, group, now);
    const bool authority = holdsAuthority(group.authority_, now);
    const SessionPolicies &policies = state.sessions_->identity_.policies_;
    std::vector<PlacementOption> options;
    for (const MemberId &id : group.members_) {
        MemberState *member = findMember(state, id);
        const bool primary = authority && group.authority_.primary_ == id;
        if (member == nullptr || (!primary && (primaryOnly || !floor)) || !takesNewWork(*member, primary, now)) {
            continue;
        }
        if (!primary && run.avoided_.contains(id)) {
            continue;
        }
        PlacementOption option{.member_ = id};
        option.busy_ = static_cast<unsigned>(member->connections_.size() - member->idle_.size());
        option.sameZone_ = !policies.prefersOwnZone_ || member->entry_.zone_ == state.sessions_->identity_.vm_.zone_;
        option.leaving_ = member->entry_.leaving_;
        option.primary_ = primary;
        option.spared_ = primary && policies.sparesPrimary_;
        option.lagging_ =
            policies.pausesLagging_ && !primary && member->laggedBehind_ && floor && *floor >= *member->laggedBehind_ && now - member->laggedAt_ < laggingPause;
        option.suspect_ = isInDoubt(*member) || (member->refusedAt_ && now - *member->refusedAt_ < fullTime);
        const auto ofOrganisation = std::ranges::count_if(member->idle_, [&](ConnectionId connection) { return serves(state, connection, session); });
        option.idleConnection_ = ofOrganisation > 0;
        const bool othersRest = std::cmp_less(ofOrganisation, member->idle_.size());
        const ConnectionPlan plan = planFor(*state.sessions_, *member, now);
        option.visited_ = plan.visits_;
        const bool hasRoom = member->connections_.size() < connectionsAllowed(plan, now - run.arrived_);
        option.mayOpen_ = (hasRoom || othersRest) && now >= member->openAfter_;
        options.push_back(option);
    }
    return options;
}

/** Takes the idle connection of the session's organisation whose values fit best; there is one. */
ConnectionId takeIdle(ProxyState &state, MemberState &member, const ClientSession &session)
{
    const auto may = [&](ConnectionId id) { return serves(state, id, session); };
    const auto fits = [&](ConnectionId id) { return may(id) && findConnection(state, id)->values_ == session.values_; };
    auto best = std::ranges::find_if(member.idle_.rbegin(), member.idle_.rend(), fits);
    if (best == member.idle_.rend()) {
        best = std::ranges::find_if(member.idle_.rbegin(), member.idle_.rend(), may);
    }
    const ConnectionId id = *best;
    member.idle_.erase(std::next(best).base());
    return id;
}

void startOn(ProxyState &state, ClientSession &session, MemberConnection &connection, Time now, Effects &out)
{
    StatementRun &run = *session.run_;
    SessionGroup &group = *findGroup(state, session.route_.service_);
    const bool authority = holdsAuthority(group.authority_, connection.member_, now);
    connection.use_ = MemberConnectionUse::Statement;
    connection.session_ = session.key_;
    run.connection_ = connection.id_;
    run.usesPrimary_ = authority;
    run.after_ = authority ? std::nullopt : readFloor(session, group, now);
    run.member_ = connection.member_;
    run.placedAt_ = run.tries_ == 0 ? now : run.placedAt_;
    ++run.tries_;
    if (session.state_ != TransactionState::None) {
        session.pinned_ = connection.id_;
    }
    connection.steps_ = stepsFor(session, connection);
    sendNextStep(state, connection, now, out);
}

/**
 * A VM that is cut off, or from which other VMs alone reach the primary, and that reaches no member that may run the statement, will reach none before the cut
 * is over: that takes many seconds as a rule. A statement held until its timeout is then refused when its client has no time left to ask elsewhere; in a
 * cut of 20 s some 2,000 were held for 980 ms each, at 450 statements a second.
 */
bool isHopeless(const ProxyState &state, const SessionGroup &group, const std::vector<PlacementOption> &options, Time now)
{
    const SessionServiceState &sessions = *state.sessions_;
    const bool none = std::ranges::none_of(options, [&](const PlacementOption &option) { return !option.primary_ || reachesPrimary(sessions, group, now); });
    return none && sessions.identity_.policies_.refusesWhenCutOff_ && (sessions.cutOff_ || isServedElsewhere(sessions, group, now));
}

/** How long the group is likely to be without a primary that this VM may use; nothing while it has one. */
std::optional<WaitForecast> primaryBackIn(const SessionServiceState &sessions, const SessionGroup &group, Time now)
{
    if (holdsAuthority(group.authority_, now) || group.heldEpoch_ == 0) {
        return std::nullopt; // A VM that starts knows of none, and mostly gets authority in its first second.
    }
    const Duration elapsed = now - group.authorityLostAt_;
    const bool replaced = group.authority_.primary_ == MemberId(); // Revoked: its successor is being chosen or promoted.
    return replaced ? outageLeft(sessions.outages_, elapsed) : WaitForecast{elapsed, false};
}

/** How long a statement behind \p ahead others is likely to wait, where anything is known of that. */
std::optional<WaitForecast>
forecastOf(const ProxyState &state, const SessionGroup &group, const std::vector<PlacementOption> &options, unsigned ahead, Time now)
{
    if (!state.sessions_->identity_.policies_.refusesByForecast_) {
        return std::nullopt;
    }
    if (options.empty()) {
        return primaryBackIn(*state.sessions_, group, now);
    }
    const bool anyFree = std::ranges::any_of(options, &PlacementOption::idleConnection_);
    return anyFree ? std::nullopt : queueLeft(group.queue_, ahead, now);
}

/** Refuses the statement if it is known, or to be expected, that no member runs it in its time; true if so. */
bool refuseHopeless(ProxyState &state,
                    const SessionGroup &group,
                    ClientSession &session,
                    const std::vector<PlacementOption> &options,
                    unsigned ahead,
                    Time now,
                    Effects &out)
{
    if (isHopeless(state, group, options, now)) {
        refuse(state, session, ReplyCode::Retry, comeBack(otherZonesAfter, "this VM is cut off from the members that may run it"), now, out);
        return true;
    }
    const StatementRun &run = *session.run_;
    const std::optional<WaitForecast> forecast = forecastOf(state, group, options, ahead, now);
    if (!forecast || isWorthWaiting(*forecast, run.deadline_ - answerMargin, run.deadline_ - run.arrived_, now)) {
        return false;
    }
    refuse(state, session, ReplyCode::Retry, comeBack(forecast->left_, whyItWaits(state, session, now)), now, out);
    return true;
}

/** Opens a connection for the statement, in the place of one that rests for another organisation if there is no room, unless one is being opened that will serve. */
void openFor(ProxyState &state, const ClientSession &session, MemberState &member, Time now, Effects &out)
{
    const auto opensFor = [&](ConnectionId id) { return findConnection(state, id)->use_ == MemberConnectionUse::Opening && serves(state, id, session); };
    if (std::ranges::any_of(member.connections_, opensFor)) {
        return;
    }
    const ConnectionPlan plan = planFor(*state.sessions_, member, now);
    if (member.connections_.size() >= connectionsAllowed(plan, now - session.run_->arrived_)) {
        closeOldestOfOthers(state, member, session.organisation_, out);
    }
    openStatementConnection(state, member, session.organisation_, now, out);
}

/** Places the statement, opens a connection for it, refuses it, or lets it wait; \p ahead others go before it. True while it waits. */
bool placeOne(ProxyState &state, SessionGroup &group, ClientSession &session, unsigned ahead, Time now, Effects &out)
{
    if (now < session.run_->notBefore_) {
        return true;
    }
    const std::vector<PlacementOption> options = placementOptions(state, session, group, now);
    if (refuseHopeless(state, group, session, options, ahead, now, out)) {
        return false;
    }
    const Placement placement = placeStatement(options);
    if (placement.open_) {
        openFor(state, session, *findMember(state, *placement.open_), now, out);
    }
    if (!placement.run_) {
        return true;
    }
    MemberState &member = *findMember(state, *placement.run_);
    std::erase(group.waiting_, session.key_);
    noteStart(group.queue_, now);
    noteUse(member.use_, now);
    startOn(state, session, *findConnection(state, takeIdle(state, member, session)), now, out);
    return false;
}

} // namespace

std::string whyItWaits(ProxyState &state, const ClientSession &session, Time now)
{
    if (waitsForPermit(*state.sessions_, session)) {
        return "no VM that holds the organisation's quota has answered";
    }
    const SessionGroup *group = findGroup(state, session.route_.service_);
    if (group == nullptr || group->members_.empty()) {
        return "no member of its group is known";
    }
    if (!placementOptions(state, session, *group, now).empty()) {
        return session.run_->tries_ == 0 ? "all connections to the members that may run it are in use"
                                         : "the members that may run it refused it or were silent";
    }
    return needsPrimary(session, *session.run_) ? "no primary may be used at present" : "no member is known to be fresh enough";
}

void dispatchStatements(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    const std::vector<SessionKey> waiting = group.waiting_;
    unsigned ahead = 0;
    for (const SessionKey key : waiting) {
        ClientSession *session = findSession(state, key);
        if (session != nullptr && session->run_ && !session->run_->connection_) {
            ahead += placeOne(state, group, *session, ahead, now, out) ? 1 : 0;
        }
    }
    noteWaiting(group.queue_, !group.waiting_.empty(), now);
}

} // namespace Figward
