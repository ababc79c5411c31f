#include "GroupAdvice.h"

#include "LoadShedding.h"
#include "MemberEjections.h"
#include "ProxyState.h"
#include "SessionLookup.h"

namespace Figward {

namespace {

/** Interval at which the leader updates its advice: that of its heartbeats. */
constexpr Duration adviceInterval = heartbeatInterval;

void learnLagging(ProxyState &state, const LaggingMember &lagging, Time sentAt)
{
    MemberState *member = findMember(state, lagging.member_);
    const Time seenAt = sentAt - lagging.lagged_.age_;
    if (member != nullptr && (!member->sharedLagAt_ || seenAt > *member->sharedLagAt_)) {
        member->sharedLagAt_ = seenAt;
        member->sharedLag_ = lagging.lagged_.position_;
    }
}

} // namespace

GroupObservations reportOf(ProxyState &state, const SessionGroup &group, Time now)
{
    GroupObservations report = group.observed_;
    for (MemberTotals &totals : report.members_) {
        const MemberState *member = findMember(state, totals.member_);
        if (member != nullptr && member->longLag_ && now - member->laggedAt_ < reportTime) {
            totals.lagged_ = LagSighting{*member->longLag_, now - member->laggedAt_};
        }
    }
    return report;
}

GroupObservations &observe(SessionGroup &group, Time now)
{
    group.lastObservedAt_ = now;
    return group.observed_;
}

void receiveAdvice(ProxyState &state, SessionGroup &group, const GroupAdvice &advice, Time sentAt)
{
    if (group.advice_ && sentAt < group.advice_->sentAt_) {
        return;
    }
    group.advice_ = ReceivedAdvice{advice, sentAt, sentAt + adviceLifetime};
    for (const LaggingMember &lagging : advice.lagging_) {
        learnLagging(state, lagging, sentAt);
    }
}

void reviewAdvice(ProxyState &state, SessionGroup &group, Time now, Effects &out)
{
    if (!group.leader_ || now < group.leader_->adviceReviewAt_) {
        return;
    }
    LeaderState &leader = *group.leader_;
    leader.adviceReviewAt_ = now + adviceInterval;
    const EntryVm &self = state.sessions_->identity_.vm_;
    mergeObservations(leader.reports_, self.name_, self.incarnation_, reportOf(state, group, now), now);
    const GroupObservations increases = takeIncreases(leader.reports_, now);
    GroupAdvice advice;
    advice.lagging_ = laggingMembers(leader.reports_, now);
    advice.ejected_ = reviewEjections(state, group, increases.members_, now, out);
    adviseLevels(*state.sessions_, group, increases, advice, now, out);
    receiveAdvice(state, group, advice, now);
}

} // namespace Figward
