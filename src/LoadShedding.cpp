#include "LoadShedding.h"

#include "GroupAdvice.h"
#include "ProxyState.h"
#include "SessionLookup.h"
#include "StatementLog.h"
#include "StatementNeeds.h"
#include "StatementOutcome.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <random>
#include <utility>

namespace Figward {

namespace {

/**
 * A wait counts at most as this fraction of the latency target. The mean is then too long only if many operations wait, as under load, and not if a fault
 * delays a few of them for long.
 */
constexpr int maxCountedWait = 2;
/** Minimum interval between two reports in the log that a level of the same pool has started. */
constexpr Duration logInterval = std::chrono::seconds(10);

MemberPool poolOf(const ClientSession &session, const StatementRun &run)
{
    return needsPrimary(session, run) ? MemberPool::Primary : MemberPool::Replicas;
}

/** The level that this VM applies to \p pool; null if it admits all operations. */
const AdmissionLevel *levelOf(const SessionServiceState &sessions, const SessionGroup &group, MemberPool pool, Time now)
{
    const GroupAdvice *advice = sessions.identity_.policies_.shedsUnderPressure_ ? currentAdvice(group.advice_, now) : nullptr;
    if (advice == nullptr) {
        return nullptr;
    }
    const std::optional<AdmissionLevel> &level = pool == MemberPool::Primary ? advice->primaryLevel_ : advice->replicaLevel_;
    return level ? &*level : nullptr;
}

/** Whether no route of the session's service is more urgent. */
bool isMostUrgent(const SessionServiceState &sessions, const ClientSession &session)
{
    return std::ranges::none_of(sessions.configuration_->databases_, [&](const auto &database) {
        return database.second.service_ == session.route_.service_ && database.second.priority_ < session.route_.priority_;
    });
}

/** Rank of the session's read among those that may use the primary; stays the same while the read waits. */
double rankAtPrimary(const ClientSession &session)
{
    const auto arrived = static_cast<std::uint64_t>(session.run_->arrived_.time_since_epoch().count());
    std::mt19937_64 random(session.key_.value() ^ arrived);
    return std::uniform_real_distribution<double>()(random);
}

/** The shortest target of each priority of \p service; priorities without a target are left out. */
std::vector<PriorityTarget> targetsOf(const SessionConfiguration &configuration, const ServiceId &service)
{
    std::map<unsigned, Duration> shortest;
    for (const auto &[name, route] : configuration.databases_) {
        if (route.service_ == service && route.target_ > Duration(0)) {
            const auto [place, isNew] = shortest.try_emplace(route.priority_, route.target_);
            place->second = std::min(place->second, route.target_);
        }
    }
    std::vector<PriorityTarget> targets;
    targets.reserve(shortest.size());
    for (const auto &[priority, target] : shortest) {
        targets.push_back({priority, target});
    }
    return targets;
}

/** Whether the statement waited for the VM's authority over a primary, or for a way to the members, and not for their load. */
bool waitedForOutage(const SessionServiceState &sessions, const SessionGroup &group, MemberPool pool, Time arrived)
{
    const bool lacksAuthority = !group.heldAuthority_ || arrived < group.authorityHeldSince_;
    return sessions.cutOff_.has_value() || (pool == MemberPool::Primary && lacksAuthority);
}

const char *nameOf(MemberPool pool)
{
    return pool == MemberPool::Primary ? "primary" : "replicas";
}

void logLevel(PoolPressure &pool, const SessionGroup &group, MemberPool kind, Time now, Effects &out)
{
    if (pool.level_ && !pool.shedSince_) {
        pool.shedSince_ = now;
        pool.isLogged_ = !pool.loggedAt_ || now - *pool.loggedAt_ >= logInterval;
        if (pool.isLogged_) {
            pool.loggedAt_ = now;
            out.emplace_back(WriteLog{LogNumber::LoadSheddingStarted,
                                      {{"group", group.id_.value()},
                                       {"pool", nameOf(kind)},
                                       {"priority", absl::StrCat(pool.level_->priority_)},
                                       {"admitted", absl::StrCat(pool.level_->fraction_)}}});
        }
    } else if (!pool.level_ && pool.shedSince_) {
        const Time since = *std::exchange(pool.shedSince_, std::nullopt);
        if (std::exchange(pool.isLogged_, false)) {
            out.emplace_back(
                WriteLog{LogNumber::LoadSheddingEnded, {{"group", group.id_.value()}, {"pool", nameOf(kind)}, {"ms", absl::StrCat(toMillis(now - since))}}});
        }
    }
}

/** The controllers of a leader that starts without evidence, with the levels that are in force at this VM. */
GroupPressure startPressure(const SessionGroup &group, Time now)
{
    GroupPressure pressure;
    if (const GroupAdvice *advice = currentAdvice(group.advice_, now)) {
        pressure.primary_.level_ = advice->primaryLevel_;
        pressure.replicas_.level_ = advice->replicaLevel_;
    }
    pressure.updateAt_ = now + pressureWindow;
    return pressure;
}

std::vector<PriorityTotals> increasesOf(const GroupObservations &window, MemberPool pool)
{
    std::vector<PriorityTotals> increases;
    std::ranges::copy_if(window.priorities_, std::back_inserter(increases), [&](const PriorityTotals &totals) { return totals.pool_ == pool; });
    return increases;
}

void addToWindow(GroupObservations &window, const GroupObservations &increases)
{
    for (const PriorityTotals &increase : increases.priorities_) {
        PriorityTotals &sum = totalsOf(window, increase.pool_, increase.priority_);
        sum.started_ += increase.started_;
        sum.shed_ += increase.shed_;
        sum.waitTime_ += increase.waitTime_;
    }
}

/** Updates the levels of both pools from the window that ends. */
void endWindow(GroupPressure &pressure, const SessionGroup &group, absl::Span<const PriorityTarget> targets, Time now, Effects &out)
{
    pressure.updateAt_ = now + pressureWindow;
    const GroupObservations window = std::exchange(pressure.window_, {});
    for (const MemberPool kind : {MemberPool::Primary, MemberPool::Replicas}) {
        PoolPressure &pool = kind == MemberPool::Primary ? pressure.primary_ : pressure.replicas_;
        updateLevel(pool, increasesOf(window, kind), targets);
        logLevel(pool, group, kind, now, out);
    }
}

} // namespace

void recordWait(ProxyState &state, ClientSession &session, Time now)
{
    const SessionServiceState &sessions = *state.sessions_;
    SessionGroup *group = findGroup(state, session.route_.service_);
    StatementRun &run = *session.run_;
    if (!run.first_ || run.waitCounted_ || !sessions.identity_.policies_.shedsUnderPressure_ || group == nullptr) {
        return;
    }
    run.waitCounted_ = true;
    const MemberPool pool = poolOf(session, run);
    if (waitedForOutage(sessions, *group, pool, run.arrived_)) {
        return;
    }
    PriorityTotals &totals = totalsOf(observe(*group, now), pool, session.route_.priority_);
    ++totals.started_;
    totals.waitTime_ += std::min(now - std::max(run.arrived_, run.admittedAt_), session.route_.target_ / maxCountedWait);
}

namespace {

/**
 * Refuses the first statement of an operation. The caller goes on with the session's next statement; finishStatement() would do so here, and recurse as deeply
 * as a client has sent statements ahead.
 */
void refuseShed(ProxyState &state, ClientSession &session, Duration delay, Time now, Effects &out)
{
    const StatementRun run = *std::exchange(session.run_, std::nullopt);
    SessionReply reply;
    reply.code_ = ReplyCode::Retry;
    reply.text_ = retryAfterText(delay, "the group is overloaded and admits fewer operations of this priority");
    if (session.state_ != TransactionState::None) {
        endTransaction(session);
        session.state_ = TransactionState::Failed;
        reply.code_ = ReplyCode::Aborted;
    }
    logOutcome(state, session, run, reply, now, out);
    answerError(session, reply.code_, reply.text_, out);
}

} // namespace

bool refuseIfShed(ProxyState &state, ClientSession &session, Time now, Effects &out)
{
    SessionGroup *group = findGroup(state, session.route_.service_);
    const StatementRun &run = *session.run_;
    const MemberPool pool = poolOf(session, run);
    const AdmissionLevel *level = group == nullptr ? nullptr : levelOf(*state.sessions_, *group, pool, now);
    if (level == nullptr || run.statement_.kind_ == StatementKind::Commit) {
        return false; // The commit of a transaction without statements costs a member next to nothing.
    }
    std::uniform_real_distribution<double> uniform;
    if (isAdmitted(*level, session.route_.priority_, uniform(state.random_))) {
        return false;
    }
    ++totalsOf(observe(*group, now), pool, session.route_.priority_).shed_;
    refuseShed(state, session, shedRetryDelay(*level, uniform(state.random_)), now, out);
    return true;
}

void adviseLevels(const SessionServiceState &sessions, SessionGroup &group, const GroupObservations &increases, GroupAdvice &advice, Time now, Effects &out)
{
    std::optional<GroupPressure> &pressure = group.leader_->pressure_;
    if (!sessions.identity_.policies_.shedsUnderPressure_ || !sessions.configuration_) {
        pressure.reset();
        return;
    }
    if (!pressure) {
        pressure = startPressure(group, now);
    }
    addToWindow(pressure->window_, increases);
    if (now >= pressure->updateAt_) {
        endWindow(*pressure, group, targetsOf(*sessions.configuration_, group.id_), now, out);
    }
    advice.primaryLevel_ = pressure->primary_.level_;
    advice.replicaLevel_ = pressure->replicas_.level_;
}

bool isUnderPressure(const SessionServiceState &sessions, const SessionGroup &group, Time now)
{
    return levelOf(sessions, group, MemberPool::Primary, now) != nullptr || levelOf(sessions, group, MemberPool::Replicas, now) != nullptr;
}

bool leavesPrimary(const SessionServiceState &sessions, const SessionGroup &group, const ClientSession &session, Time now)
{
    const AdmissionLevel *level = levelOf(sessions, group, MemberPool::Primary, now);
    return level != nullptr && !needsPrimary(session, *session.run_) && !isAdmitted(*level, session.route_.priority_, rankAtPrimary(session))
           && !isMostUrgent(sessions, session);
}

Time openingAllowedAt(const SessionServiceState &sessions, const SessionGroup &group, const MemberState &member, const ClientSession &session, Time now)
{
    const bool urgent = now < member.openAfter_ && isUnderPressure(sessions, group, now) && isMostUrgent(sessions, session);
    return urgent ? member.urgentOpenAfter_ : member.openAfter_;
}

bool mayOpenAnother(const SessionServiceState &sessions, const SessionGroup &group, const MemberState &member, Time now)
{
    if (!isUnderPressure(sessions, group, now)) {
        return true;
    }
    const auto isOpening = [&](ConnectionId id) { return sessions.connections_.at(id).use_ == MemberConnectionUse::Opening; };
    return std::cmp_less(std::ranges::count_if(member.connections_, isOpening), openingsAllowed(countWaiting(group.waiting_)));
}

void recordFullRefusal(const SessionServiceState &sessions, MemberState &member, Duration backoff, Time now)
{
    const auto group = sessions.groups_.find(member.entry_.service_);
    if (group != sessions.groups_.end() && isUnderPressure(sessions, group->second, now)) {
        member.urgentOpenAfter_ = now + backoff;
        member.openAfter_ = now + backoff * fullBackoffFactor(member.fullRefusals_);
        ++member.fullRefusals_;
    }
}

} // namespace Figward
