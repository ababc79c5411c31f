#include "Failover.h"

#include "Backoff.h"
#include "OwnerRequests.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration rankDelay = std::chrono::milliseconds(400); // Longer than the first owner in rank needs for a failover, counted from its first fence.
constexpr Duration rankJitter = std::chrono::milliseconds(100);
constexpr Duration noPrimaryDelay = std::chrono::milliseconds(100); // Leaves time for the members' first answers and for updates from the other owners.
constexpr Duration stalledDelay = std::chrono::milliseconds(300); // Leaves time for the owner that set the fence to complete its failover.
constexpr Duration queryInterval = std::chrono::milliseconds(300); // Longer than a probe's timeout and two network hops.
constexpr Duration unconfirmedWait = std::chrono::seconds(1);
constexpr unsigned maxUnconfirmedDoublings = 5;
constexpr Duration unconfirmedWindow = std::chrono::seconds(60);
constexpr Duration catchUpWait = std::chrono::seconds(2);
constexpr Duration primaryProbeInterval = std::chrono::milliseconds(20);
constexpr Backoff primarySeenBackoff{std::chrono::milliseconds(400), 2};

/** A member that reports being primary of a term at least as high as the known one is the primary, unless it has been fenced at a higher term since. */
void learnPrimary(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    for (const MemberView &member : owner.view_.members_) {
        if (!member.status_ || !member.status_->primary_ || member.status_->fenced_ > member.status_->log_.term_) {
            continue;
        }
        const Term term = member.status_->log_.term_;
        if (term > owner.view_.term_ || (term == owner.view_.term_ && !owner.view_.primary_)) {
            const MemberId id = member.config_.id_;
            adoptPrimary(state, owner, term, id, now, out);
        }
    }
}

/** A primary that reports that it is no longer primary, for example after a restart, must be replaced: no other member will be primary of its term. */
void dropDemotedPrimary(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    const MemberView *primary = primaryOf(owner.view_);
    const bool demoted = primary != nullptr && primary->status_ && !primary->status_->primary_ && primary->statusAsOf_ > owner.failover_.primarySince_;
    if (demoted) {
        owner.view_.primary_.reset();
        onPrimaryChanged(state, owner, now, out);
    }
}

void refreshRank(const ProxyState &state, GroupOwner &owner)
{
    const std::vector<VmInfo> ranking = failoverRanking(state, owner);
    const auto self = std::ranges::find(ranking, state.identity_.self_.id_, &VmInfo::id_);
    owner.failover_.rank_ = static_cast<unsigned>(self - ranking.begin());
}

/** Earliest time at which this owner may act on a suspicion that begins at \p now. */
Time earliestStart(ProxyState &state, const GroupOwner &owner, Time now)
{
    const FailoverState &failover = owner.failover_;
    Time start = now + failover.rank_ * rankDelay;
    if (failover.rank_ > 0) {
        start += Duration(static_cast<std::int64_t>(state.random_() % static_cast<std::uint64_t>(rankJitter.count())));
    }
    if (failover.suspicion_.cause_ == FailoverCause::NoPrimary) {
        start += noPrimaryDelay;
    }
    if (failover.suspicion_.cause_ == FailoverCause::StalledFailover) {
        start += stalledDelay;
    }
    return start;
}

bool hasOtherOwners(const ProxyState &state, const GroupOwner &owner)
{
    return ownersOf(state, owner.config_.id_).size() > 1;
}

Duration waitWithoutPeerReport(const ProxyState &state, const GroupOwner &owner, Time now)
{
    const FailoverState &failover = owner.failover_;
    const bool recent = failover.unconfirmedAttempts_ > 0 && now - failover.lastUnconfirmedAt_ < unconfirmedWindow;
    if (!recent || !hasOtherOwners(state, owner)) {
        return unconfirmedWait;
    }
    // An owner that hears no other owner may itself be cut off. In that case the other owners undo each of its promotions, and increasing waits keep the group
    // from switching back and forth.
    return unconfirmedWait * (1 << std::min(failover.unconfirmedAttempts_, maxUnconfirmedDoublings));
}

/** Whether an attempt is allowed by another owner's report, or by a long wait without one. Sends queries to the other owners when due. */
bool isConfirmed(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    FailoverState &failover = owner.failover_;
    Suspicion &suspicion = failover.suspicion_;
    if (!needsPeerReport(suspicion.cause_) || suspicion.peerReport_ == PeerReport::PrimaryUnseen) {
        return true;
    }
    if (suspicion.peerReport_ == PeerReport::PrimarySeen) {
        suspicion.peerReport_ = PeerReport::None;
        suspicion.firstAskedAt_.reset();
        failover.retryAt_ = now + backoffDelay(primarySeenBackoff, failover.failures_++, state.random_);
        scheduleFailoverReview(state, owner, failover.retryAt_);
        return false;
    }
    if (!suspicion.firstAskedAt_ || now - suspicion.lastAskedAt_ >= queryInterval) {
        requestPeerReports(state, owner, now, out);
    }
    const Time unconfirmedStart = *suspicion.firstAskedAt_ + waitWithoutPeerReport(state, owner, now);
    if (now >= unconfirmedStart) {
        return true;
    }
    scheduleFailoverReview(state, owner, std::min(unconfirmedStart, suspicion.lastAskedAt_ + queryInterval));
    return false;
}

/** Whether a majority of members has answered since the suspicion began. Without a majority, a fence could only do harm. */
bool majorityAnswers(const GroupOwner &owner)
{
    const bool leaving = owner.failover_.suspicion_.cause_ == FailoverCause::PrimaryLeaving;
    const auto answers = [&](const MemberView &member) {
        return member.status_ && member.statusAsOf_ >= owner.failover_.suspicion_.since_ && !(leaving && member.config_.leaving_);
    };
    return static_cast<std::size_t>(std::ranges::count_if(owner.view_.members_, answers)) >= majorityOf(owner.view_);
}

/** Whether a member that stays has the whole log of a leaving primary, so that the replacement loses nothing. */
bool isCaughtUp(const GroupOwner &owner, Time now)
{
    const Suspicion &suspicion = owner.failover_.suspicion_;
    const MemberView *primary = primaryOf(owner.view_);
    if (suspicion.cause_ != FailoverCause::PrimaryLeaving || primary == nullptr || !primary->status_ || now - suspicion.since_ >= catchUpWait) {
        return true;
    }
    const auto hasAll = [&](const MemberView &member) {
        return !member.config_.leaving_ && member.status_ && contains(*member.status_, primary->status_->log_);
    };
    return std::ranges::any_of(owner.view_.members_, hasAll);
}

void beginAttempt(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    FailoverState &failover = owner.failover_;
    const std::optional<Term> term = takeTerm(failover.blocks_, std::max(owner.view_.term_, highestFence(owner.view_)));
    if (!term) {
        maintainGroupRecord(state, owner, now, out);
        scheduleFailoverReview(state, owner, now + queryInterval);
        return;
    }
    if (needsPeerReport(failover.suspicion_.cause_) && failover.suspicion_.peerReport_ == PeerReport::None) {
        const bool recent = now - failover.lastUnconfirmedAt_ < unconfirmedWindow;
        failover.unconfirmedAttempts_ = recent ? failover.unconfirmedAttempts_ + 1 : 1;
        failover.lastUnconfirmedAt_ = now;
    }
    startAttempt(state, owner, *term, now, out);
}

/** Takes the step that is due, if any, and schedules the next review. */
void advance(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    FailoverState &failover = owner.failover_;
    if (failover.attempt_) {
        reviewAttempt(state, owner, now, out);
        return;
    }
    if (failover.suspicion_.cause_ == FailoverCause::None || owner.leaving_ || state.drain_.draining_) {
        return;
    }
    if (now < failover.retryAt_) {
        scheduleFailoverReview(state, owner, failover.retryAt_);
        return;
    }
    if (!isConfirmed(state, owner, now, out)) {
        return;
    }
    if (now < failover.suspicion_.startAt_) {
        scheduleFailoverReview(state, owner, failover.suspicion_.startAt_);
        return;
    }
    // If either condition does not hold yet, the next round of probes, or an answer to the last one, calls this function again.
    if (majorityAnswers(owner) && isCaughtUp(owner, now)) {
        beginAttempt(state, owner, now, out);
    }
}

} // namespace

void startFailover(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    refreshRank(state, owner);
    maintainGroupRecord(state, owner, now, out);
}

void reviewPrimary(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    learnPrimary(state, owner, now, out);
    dropDemotedPrimary(state, owner, now, out);
    if (!owner.view_.primary_ && now - owner.probes_.lastRoundAt_ >= primaryProbeInterval) {
        probeRound(state, owner, now, out);
    }
    if (updateSuspicion(state, owner, now, out)) {
        Suspicion &suspicion = owner.failover_.suspicion_;
        suspicion.startAt_ = earliestStart(state, owner, now);
        if (suspicion.cause_ == FailoverCause::None) {
            owner.failover_.failures_ = 0;
        } else {
            probeRound(state, owner, now, out);
        }
    }
    advance(state, owner, now, out);
}

void maintainFailover(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    refreshRank(state, owner);
    maintainGroupRecord(state, owner, now, out);
    maintainRejoins(state, owner, now, out);
    reviewPrimary(state, owner, now, out);
}

void onFailoverTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    GroupOwner *owner = findOwner(state, tag.group_);
    if (owner == nullptr) {
        return;
    }
    if (owner->failover_.reviewAt_ && now >= *owner->failover_.reviewAt_) {
        owner->failover_.reviewAt_.reset();
    }
    reviewPrimary(state, *owner, now, out);
}

void onGroupRecordAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out)
{
    if (GroupOwner *owner = findOwner(state, call.group_)) {
        handleGroupRecordAnswer(state, *owner, answer, now, out);
        reviewPrimary(state, *owner, now, out);
    }
}

void onSuspicionQuery(ProxyState &state, const PeerMessage &message, const SuspicionQuery &query, Time now, Effects &out)
{
    if (GroupOwner *owner = findOwner(state, query.group_)) {
        answerSuspicionQuery(state, *owner, {message.from_, {}, message.fromAddress_, false}, query, now, out);
    }
}

void onSuspicionAnswer(ProxyState &state, const PeerMessage &message, const SuspicionAnswer &answer, Time now, Effects &out)
{
    if (GroupOwner *owner = findOwner(state, answer.group_)) {
        recordPeerReport(state, *owner, message.from_, answer);
        reviewPrimary(state, *owner, now, out);
    }
}

void onPrimaryNews(ProxyState &state, const PeerMessage &message, const PrimaryNews &news, Time now, Effects &out)
{
    GroupOwner *owner = findOwner(state, news.group_);
    if (owner == nullptr) {
        return;
    }
    const bool newer = news.term_ > owner->view_.term_ || (news.term_ == owner->view_.term_ && !owner->view_.primary_);
    if (newer) {
        adoptPrimary(state, *owner, news.term_, news.primary_, now, out);
        reviewPrimary(state, *owner, now, out);
    } else if (news.term_ < owner->view_.term_ && owner->view_.primary_) {
        sendPeer(state, {message.from_, {}, message.fromAddress_, false}, PrimaryNews{news.group_, owner->view_.term_, *owner->view_.primary_}, out);
    }
}

void onTermHandover(ProxyState &state, const PeerMessage & /*message*/, const TermHandover &handover, Time now, Effects &out)
{
    if (GroupOwner *owner = findOwner(state, handover.group_)) {
        const TermBlock block{handover.first_, handover.last_};
        // The message may arrive twice; a block recorded twice would yield the same terms twice.
        const bool known = std::ranges::any_of(owner->failover_.receivedBlocks_, [&](const TermBlock &taken) { return taken.last_ == block.last_; });
        if (!known) {
            owner->failover_.receivedBlocks_.push_back(block);
            owner->failover_.blocks_.push_back(block);
            reviewPrimary(state, *owner, now, out);
        }
    }
}

std::vector<VmInfo> failoverRanking(const ProxyState &state, const GroupOwner &owner)
{
    std::vector<VmInfo> owners = ownersOf(state, owner.config_.id_);
    if (const MemberView *primary = primaryOf(owner.view_)) {
        std::stable_partition(owners.begin(), owners.end(), [&](const VmInfo &vm) { return vm.zone_ != primary->config_.zone_; });
    }
    return owners;
}

void adoptPrimary(ProxyState &state, GroupOwner &owner, Term term, const MemberId &member, Time now, Effects &out)
{
    owner.view_.term_ = term;
    owner.view_.primary_ = member;
    owner.failover_.primarySince_ = now;
    refreshRank(state, owner);
    onPrimaryChanged(state, owner, now, out);
    probeRound(state, owner, now, out);
}

void scheduleFailoverReview(ProxyState &state, GroupOwner &owner, Time at)
{
    if (owner.failover_.reviewAt_ && *owner.failover_.reviewAt_ <= at) {
        return;
    }
    owner.failover_.reviewAt_ = at;
    state.timers_.arm(at, {TimerTopic::Failover, owner.config_.id_, 0});
}

} // namespace Figward
