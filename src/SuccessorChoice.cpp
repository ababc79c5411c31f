#include "SuccessorChoice.h"

#include "MemberConnections.h"
#include "ProxyState.h"
#include "SessionLookup.h"

#include <algorithm>

namespace Figward {

namespace {

/** The survey continues without members that have not reported within this time. */
constexpr Duration surveyTime = std::chrono::milliseconds(400);
/**
 * Replaces surveyTime if the member that is missing may be the one that holds acknowledged commits: in groups with synchronous replicas, or if all that have
 * reported lack old ones.
 */
constexpr Duration longSurveyTime = std::chrono::seconds(6);
/** Replicas receive commits within a fraction of this time, unless they are cut off from the primary. */
constexpr Duration normalReplicationLag = std::chrono::seconds(1);
/** Maximum time that a planned replacement waits for the successor to receive the last commits. */
constexpr Duration catchUpTimeout = std::chrono::milliseconds(1500);
/** A member keeps up with the primary if it has received what the primary had this long ago. */
constexpr Duration successorLag = std::chrono::milliseconds(500);
/** Time for which a leaving primary is not replaced while no member keeps up with it; short enough to replace it before it ends. */
constexpr Duration successorWait = std::chrono::seconds(3);
/** Interval between report requests to members that may succeed a leaving primary. */
constexpr Duration successorReportInterval = std::chrono::milliseconds(200);
/** If only members remain whose logs may have diverged, one of them is promoted after this time: a member that was merely lost for a while would have returned. */
constexpr Duration divergedLogTimeout = std::chrono::seconds(30);

/**
 * Whether \p member, the old primary, may be promoted again: it has stepped down, or it reports that it is still primary while it is unknown whether another
 * member was promoted, which promoting it again resolves.
 */
bool mayBePromotedAgain(const LeaderState &leader, const MemberState &member)
{
    const ReplicationReport *report = currentReport(leader, member);
    return !leader.planned_ && report != nullptr && (leader.promotionIssued_ || !report->primary_);
}

/** Members other than the primary that stay or, if \p leaving, that leave. */
std::vector<const MemberState *> findCandidates(ProxyState &state, const SessionGroup &group, bool leaving)
{
    std::vector<const MemberState *> found;
    for (const MemberId &id : group.members_) {
        const MemberState *member = findMember(state, id);
        if (member == nullptr || member->entry_.leaving_ != leaving) {
            continue;
        }
        if (id != group.leader_->claim_.primary_ || mayBePromotedAgain(*group.leader_, *member)) {
            found.push_back(member);
        }
    }
    return found;
}

bool hasSynchronousReplicas(const ProxyState &state, const ServiceId &group)
{
    const auto limits = state.sessions_->configuration_->services_.find(group);
    return limits != state.sessions_->configuration_->services_.end() && limits->second.syncReplicas_ > 0;
}

/**
 * Whether \p report lacks what the old primary had well before it was lost, which replicas had received long since: the member was started again without its
 * log, or receives nothing.
 */
bool lacksOldPositions(const SessionGroup &group, const ReplicationReport &report)
{
    const std::optional<LogPoint> old = positionBefore(group.samples_, group.leader_->replacementSince_ - normalReplicationLag);
    return old && report.received_ < *old;
}

/** Latest term in which some VM may have used a primary. A claim that could not be written since then still holds an earlier one. */
Term termInUse(const SessionGroup &group)
{
    return std::max({group.leader_->claim_.term_, group.authority_.term_, group.authority_.highestTerm_});
}

/** Whether the log of \p report may contain commits that were given up when the term in use began. */
bool mayHaveDiverged(const SessionGroup &group, const ReplicationReport &report)
{
    const LeaderClaim &claim = group.leader_->claim_;
    const Term term = termInUse(group);
    if (claim.termStart_ && claim.term_ == term) {
        return report.received_.term_ < term && *claim.termStart_ < report.received_;
    }
    return report.term_ < term;
}

/** The first of \p candidates that has received most of the log, of those that have reported and may be promoted; null if there is none. */
const MemberState *mostAdvanced(const SessionGroup &group, const std::vector<const MemberState *> &candidates, Time now)
{
    const LeaderState &leader = *group.leader_;
    const bool acceptsDiverged = now - leader.stepSince_ > divergedLogTimeout;
    const MemberState *best = nullptr;
    for (const MemberState *member : candidates) {
        const ReplicationReport *report = currentReport(leader, *member);
        const bool eligible = report != nullptr && (acceptsDiverged || !mayHaveDiverged(group, *report));
        if (eligible && (best == nullptr || best->report_->received_ < report->received_)) {
            best = member;
        }
    }
    return best;
}

bool haveAllReported(const LeaderState &leader, const std::vector<const MemberState *> &candidates)
{
    return std::ranges::all_of(candidates, [&](const MemberState *member) { return currentReport(leader, *member) != nullptr; });
}

/** Whether \p member, which has reported, has received what the primary had successorLag before. */
bool keepsUp(const SessionGroup &group, const MemberState &member)
{
    const std::optional<LogPoint> old = positionBefore(group.samples_, member.reportAsOf_ - successorLag);
    return old && *old <= member.report_->received_;
}

/** Adds the leaving members to \p candidates, after those that stay. */
void addLeaving(ProxyState &state, const SessionGroup &group, bool synchronous, std::vector<const MemberState *> &candidates)
{
    for (const MemberState *member : findCandidates(state, group, true)) {
        // A leaving member that refuses connections has ended. Only acknowledged commits that are nowhere else are worth waiting for its return.
        if (synchronous || !member->connectionRefused_) {
            candidates.push_back(member);
        }
    }
}

/** Successor of a primary that is lost. */
const MemberState *chooseAfterLoss(ProxyState &state, const SessionGroup &group, Time now)
{
    const LeaderState &leader = *group.leader_;
    const bool synchronous = hasSynchronousReplicas(state, group.id_);
    std::vector<const MemberState *> candidates = findCandidates(state, group, false);
    const MemberState *best = mostAdvanced(group, candidates, now);
    if (synchronous || best == nullptr || lacksOldPositions(group, *best->report_)) {
        addLeaving(state, group, synchronous, candidates);
        best = mostAdvanced(group, candidates, now);
    }
    const bool mayLackCommits = synchronous || (best != nullptr && lacksOldPositions(group, *best->report_));
    const bool timedOut = now - leader.stepSince_ > (mayLackCommits ? longSurveyTime : surveyTime);
    return timedOut || haveAllReported(leader, candidates) ? best : nullptr;
}

/** Successor of a leaving primary, which has been told to step down. */
const MemberState *chooseAfterStepDown(ProxyState &state, const SessionGroup &group, Time now)
{
    const LeaderState &leader = *group.leader_;
    const MemberState *old = findMember(state, leader.claim_.primary_);
    const ReplicationReport *last = old == nullptr ? nullptr : currentReport(leader, *old);
    const MemberState *staying = mostAdvanced(group, findCandidates(state, group, false), now);
    const bool hasCaughtUp = last != nullptr && !last->primary_ && staying != nullptr && last->received_ <= staying->report_->received_;
    if (hasCaughtUp) {
        return staying;
    }
    if (now - leader.stepSince_ <= catchUpTimeout) {
        return nullptr;
    }
    const MemberState *successor = chooseAfterLoss(state, group, now);
    if (last == nullptr || last->primary_) {
        return successor;
    }
    // Commits of the old primary that no other member has received may have been acknowledged. It is replaced once another member keeps up with it.
    const bool losesCommits = successor != nullptr && hasSynchronousReplicas(state, group.id_) && successor->report_->received_ < last->received_;
    return successor == nullptr || losesCommits ? old : successor;
}

} // namespace

const ReplicationReport *currentReport(const LeaderState &leader, const MemberState &member)
{
    return member.report_ && leader.reportsRequestedAt_ && member.reportAsOf_ >= *leader.reportsRequestedAt_ ? &*member.report_ : nullptr;
}

std::optional<LogPoint> termStartOf(const ReplicationReport &report)
{
    return report.received_.term_ < report.term_ ? std::optional(report.received_) : std::nullopt;
}

bool hasCandidates(ProxyState &state, const SessionGroup &group)
{
    return !findCandidates(state, group, false).empty() || !findCandidates(state, group, true).empty();
}

bool isSuccessorReady(ProxyState &state, const SessionGroup &group, Time now)
{
    const std::vector<const MemberState *> candidates = findCandidates(state, group, false);
    const MemberState *primary = findMember(state, group.leader_->claim_.primary_);
    const bool mayWait = primary == nullptr || !primary->leavingSince_ || now - *primary->leavingSince_ < successorWait;
    const bool mustKeepUp = mayWait || hasSynchronousReplicas(state, group.id_);
    return std::ranges::any_of(candidates, [&](const MemberState *member) {
        const bool reportedRecently = member->report_ && now - member->reportAsOf_ < successorLag;
        return reportedRecently && !mayHaveDiverged(group, *member->report_) && (!mustKeepUp || keepsUp(group, *member));
    });
}

void requestSuccessorReports(ProxyState &state, const SessionGroup &group, Time now, Effects &out)
{
    for (const MemberId &id : group.members_) {
        MemberState *member = findMember(state, id);
        const bool mayBeAsked = member != nullptr && !member->entry_.leaving_ && id != group.leader_->claim_.primary_;
        if (mayBeAsked && now - member->lastReportRequestAt_ >= successorReportInterval) {
            askMemberReport(state, *member, now, out);
        }
    }
}

const MemberState *findCurrentPrimary(ProxyState &state, const SessionGroup &group)
{
    const LeaderState &leader = *group.leader_;
    const MemberState *best = nullptr;
    for (const MemberId &id : group.members_) {
        const MemberState *member = findMember(state, id);
        const ReplicationReport *report = member == nullptr ? nullptr : currentReport(leader, *member);
        // Once a promotion has been requested, a member that is primary in the old term may be replaced at any moment, or may have been already.
        const Term lowest = leader.promotionIssued_ ? Term(leader.claim_.term_.value() + 1) : leader.claim_.term_;
        if (report == nullptr || !report->primary_ || report->term_ < lowest) {
            continue;
        }
        const std::optional<PositionSample> sample = newestSample(group.samples_);
        const bool lostLogEntries = id == leader.claim_.primary_ && sample && sample->position_.term_ == report->term_ && report->received_ < sample->position_;
        const bool planned = leader.planned_ && id == leader.claim_.primary_;
        if (!lostLogEntries && !planned && (best == nullptr || best->report_->term_ < report->term_)) {
            best = member;
        }
    }
    return best;
}

const MemberState *chooseSuccessor(ProxyState &state, const SessionGroup &group, Time now)
{
    return group.leader_->planned_ ? chooseAfterStepDown(state, group, now) : chooseAfterLoss(state, group, now);
}

} // namespace Figward
