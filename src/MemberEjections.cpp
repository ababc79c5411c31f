#include "MemberEjections.h"

#include "GroupAdvice.h"
#include "MemberConnections.h"
#include "PlannedRevocation.h"
#include "ProxyState.h"
#include "SessionLookup.h"
#include "StatementNeeds.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace Figward {

namespace {

/** Time after its arrival for which a statement waits for a connection to the member that it probes. */
constexpr Duration maxProbeWait = std::chrono::milliseconds(100);
/** Time after its arrival from which a statement may use an ejected member if no other has room for it: half of the shortest latency targets. */
constexpr Duration maxWithheldTime = std::chrono::milliseconds(50);

bool ejectsOutliers(const ProxyState &state, const SessionGroup &group)
{
    return state.sessions_->identity_.policies_.ejectsOutliers_ && group.members_.size() >= minComparedMembers;
}

/** Whether other members of the group may run the statement as well: only such statements tell how a member compares with the others. */
bool isComparable(const ClientSession &session)
{
    return session.run_ && !needsPrimary(session, *session.run_) && session.run_->statement_.kind_ != StatementKind::Commit;
}

/** Whether most members of the group fail at this VM, which is then the likely cause itself. */
bool failsAtMost(ProxyState &state, const SessionGroup &group, Time now)
{
    const auto isFailingHere = [&](const MemberId &id) {
        const MemberState *member = findMember(state, id);
        return member != nullptr && isFailing(member->failureRow_, now);
    };
    return static_cast<std::size_t>(std::ranges::count_if(group.members_, isFailingHere)) * 2 > group.members_.size();
}

void countFailure(ProxyState &state, const ServiceId &service, const MemberId &id, Time now)
{
    SessionGroup *group = findGroup(state, service);
    MemberState *member = findMember(state, id);
    if (group == nullptr || member == nullptr || !ejectsOutliers(state, *group)) {
        return;
    }
    recordFailure(member->failureRow_, now);
    if (!failsAtMost(state, *group, now)) {
        ++totalsOf(observe(*group, now), id).failed_;
    }
}

std::vector<ReviewedMember> reviewedMembers(ProxyState &state, const SessionGroup &group)
{
    std::vector<ReviewedMember> members;
    for (const MemberId &id : group.members_) {
        const MemberState *member = findMember(state, id);
        members.push_back({id, member != nullptr && !member->leavingSince_ && !member->missingSince_ && !member->connectionRefused_});
    }
    return members;
}

WriteLog describe(const SessionGroup &group, const EjectionChange &change)
{
    constexpr double percent = 100;
    const auto percentOf = [](double share) { return absl::StrCat(std::lround(share * percent)); };
    WriteLog line{change.ejected_ ? LogNumber::MemberEjected : LogNumber::MemberReturned,
                  {{"group", group.id_.value()},
                   {"member", change.member_.value()},
                   {"reason", toString(change.reason_)},
                   {"failed_percent", percentOf(change.compared_.failureShare_)},
                   {"others_failed_percent", percentOf(change.compared_.othersFailureShare_)},
                   {"mean_ms", absl::StrCat(toMillis(change.compared_.meanTime_))},
                   {"others_mean_ms", absl::StrCat(toMillis(change.compared_.othersMeanTime_))}}};
    if (change.ejected_) {
        line.fields_.push_back({"for_ms", absl::StrCat(toMillis(change.ejectionTime_))});
    }
    return line;
}

MemberUse useOf(const SessionGroup &group, const MemberState &member, Time now)
{
    return memberUse(group.advice_ ? &*group.advice_ : nullptr, member.entry_.id_, member.failureRow_, now);
}

/** Whether this VM runs no statement at the member, so that it may send one as a probe. */
bool mayProbe(ProxyState &state, const MemberState &member)
{
    const auto runsStatement = [&](ConnectionId id) { return findConnection(state, id)->use_ == MemberConnectionUse::Statement; };
    return !isUnavailable(member) && std::ranges::none_of(member.connections_, runsStatement);
}

/** Marks the candidates that are ejected, and returns the member that the statement is to probe, if any. */
std::optional<MemberId> markEjected(ProxyState &state, StatementRun &run, const SessionGroup &group, std::vector<PlacementCandidate> &candidates, Time now)
{
    std::optional<MemberId> probed;
    for (PlacementCandidate &candidate : candidates) {
        const MemberState &member = *findMember(state, candidate.member_);
        const MemberUse use = useOf(group, member, now);
        candidate.ejected_ = use != MemberUse::Full;
        const bool hasRoom = candidate.idleConnection_ || candidate.mayOpen_;
        if (use == MemberUse::Probe && hasRoom && now - run.arrived_ < maxProbeWait && mayProbe(state, member)) {
            probed = candidate.member_;
        }
    }
    if (probed && !run.probes_) {
        run.probes_ = drawsProbe(state.random_());
    }
    return run.probes_.value_or(false) ? probed : std::nullopt;
}

} // namespace

void countReply(ProxyState &state, const ClientSession &session, const MemberId &member, ReplyCode code, Time now)
{
    if (!isComparable(session)) {
        return;
    }
    if (code == ReplyCode::Failed || code == ReplyCode::Retry) {
        countFailure(state, session.route_.service_, member, now);
        return;
    }
    SessionGroup *group = findGroup(state, session.route_.service_);
    MemberState *known = findMember(state, member);
    if (code != ReplyCode::None || group == nullptr || known == nullptr || !ejectsOutliers(state, *group)) {
        return; // Other refusals say nothing about whether the member works.
    }
    recordAnswer(known->failureRow_);
    MemberTotals &totals = totalsOf(observe(*group, now), member);
    ++totals.answered_;
    totals.answerTime_ += now - session.run_->sentAt_;
}

void countMissingReply(ProxyState &state, const ClientSession &session, const MemberId &member, Time now)
{
    if (isComparable(session) && session.run_->sent_) {
        countFailure(state, session.route_.service_, member, now);
    }
}

void countFailedOpening(ProxyState &state, const MemberState &member, Time now)
{
    countFailure(state, member.entry_.service_, member.entry_.id_, now);
}

std::vector<EjectedMember> reviewEjections(ProxyState &state, SessionGroup &group, absl::Span<const MemberTotals> increases, Time now, Effects &out)
{
    LeaderState &leader = *group.leader_;
    if (!ejectsOutliers(state, group)) {
        leader.outliers_.reset();
        return {};
    }
    if (!leader.outliers_) {
        leader.outliers_ = adoptEjections(group.advice_ ? &*group.advice_ : nullptr, now);
    }
    for (const EjectionChange &change : reviewOutliers(*leader.outliers_, reviewedMembers(state, group), increases, now)) {
        out.emplace_back(describe(group, change));
        state.sessions_->heartbeatNow_ = true; // Other VMs follow the change at once.
    }
    return ejectedMembers(*leader.outliers_, now);
}

void withholdEjected(ProxyState &state, ClientSession &session, const SessionGroup &group, std::vector<PlacementCandidate> &candidates, Time now)
{
    StatementRun &run = *session.run_;
    if (candidates.size() < 2 || !ejectsOutliers(state, group)) {
        return;
    }
    if (const std::optional<MemberId> probed = markEjected(state, run, group, candidates, now)) {
        std::erase_if(candidates, [&](const PlacementCandidate &candidate) { return candidate.member_ != *probed; });
        return;
    }
    const auto isWithheld = [&](const PlacementCandidate &candidate) { return candidate.ejected_ || candidate.member_ == run.failedAt_; };
    const bool mayWait = now - run.arrived_ < maxWithheldTime;
    const auto isUsable = [&](const PlacementCandidate &candidate) {
        const bool hasRoom = candidate.idleConnection_ || candidate.mayOpen_;
        return !isWithheld(candidate) && (mayWait || hasRoom) && !candidate.lagging_ && !candidate.leaving_
               && !isUnavailable(*findMember(state, candidate.member_));
    };
    if (std::ranges::any_of(candidates, isUsable)) {
        std::erase_if(candidates, isWithheld);
    }
}

void closeEjected(ProxyState &state, const MemberState &member, Time now, Effects &out)
{
    const SessionGroup *group = findGroup(state, member.entry_.service_);
    if (member.idle_.all_.empty() || group == nullptr || !ejectsOutliers(state, *group) || currentAdvice(group->advice_, now) == nullptr) {
        return;
    }
    if (group->authority_.primary_ != member.entry_.id_ && useOf(*group, member, now) == MemberUse::Avoid) {
        for (const ConnectionId id : std::vector<ConnectionId>(member.idle_.all_)) {
            closeMemberConnection(state, id, out);
        }
    }
}

bool mayTryElsewhere(ProxyState &state, const ClientSession &session, const MemberId &failed, Time now)
{
    const StatementRun &run = *session.run_;
    const SessionGroup &group = *findGroup(state, session.route_.service_);
    const bool isSingleRead = session.state_ == TransactionState::None && !needsPrimary(session, run);
    const bool hasTime = now - run.arrived_ < (run.deadline_ - run.arrived_) / 2;
    if (!isSingleRead || !hasTime || run.failedAt_ != MemberId() || !ejectsOutliers(state, group)) {
        return false;
    }
    const bool known = requiredReadPosition(session, group, now).has_value();
    const auto mayServe = [&](const MemberId &id) {
        const MemberState *member = findMember(state, id);
        const bool primary = group.authority_.primary_ == id && mayStartAtPrimary(group, now);
        return id != failed && (primary || (known && !run.excludedMembers_.contains(id))) && member != nullptr && !member->leavingSince_
               && !isUnavailable(*member);
    };
    return std::ranges::any_of(group.members_, mayServe);
}

} // namespace Figward
