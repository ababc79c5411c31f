#include "Failover.h"

#include "Backoff.h"
#include "OwnerRequests.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration rankDelay = std::chrono::milliseconds(400); // Longer than a failover of the first in rank takes from its first fence on.
constexpr Duration rankJitter = std::chrono::milliseconds(100);
constexpr Duration noPrimaryDelay = std::chrono::milliseconds(100); // For the members' first answers and the other owners' news.
constexpr Duration stalledDelay = std::chrono::milliseconds(300); // For the owner whose fence was seen to finish.
constexpr Duration askInterval = std::chrono::milliseconds(300); // Longer than a probe's timeout and two hops.
constexpr Duration unconfirmedWait = std::chrono::seconds(1);
constexpr unsigned maxUnconfirmedDoublings = 5;
constexpr Duration unconfirmedMemory = std::chrono::seconds(60);
constexpr Duration catchUpWait = std::chrono::seconds(2);
constexpr Duration relearnInterval = std::chrono::milliseconds(20);
constexpr Backoff primarySeenBackoff{std::chrono::milliseconds(400), 2};

/** A member that calls itself primary of a term as high as any known is the primary, unless it has been fenced since. */
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

/** A primary that says it is none any more, such as after a restart, must be replaced: no other will be primary of its term. */
void dropFormerPrimary(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    const MemberView *primary = primaryOf(owner.view_);
    const bool former = primary != nullptr && primary->status_ && !primary->status_->primary_ && primary->statusAsOf_ > owner.failover_.primarySince_;
    if (former) {
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

/** The first instant at which this owner may act on a suspicion that begins at \p now. */
Time startOf(ProxyState &state, const GroupOwner &owner, Time now)
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

Duration waitWithoutWord(const ProxyState &state, const GroupOwner &owner, Time now)
{
    const FailoverState &failover = owner.failover_;
    const bool recent = failover.unconfirmed_ > 0 && now - failover.unconfirmedAt_ < unconfirmedMemory;
    if (!recent || !hasOtherOwners(state, owner)) {
        return unconfirmedWait;
    }
    // An owner that hears no other one may be the one that is cut off. If it is, each of its promotions is undone by the others, and longer and
    // longer waits keep the group from going back and forth.
    return unconfirmedWait * (1 << std::min(failover.unconfirmed_, maxUnconfirmedDoublings));
}

/** Whether the second word, or a long wait for it, allows an attempt; asks for it where that is due. */
bool isConfirmed(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    FailoverState &failover = owner.failover_;
    Suspicion &suspicion = failover.suspicion_;
    if (!needsSecondWord(suspicion.cause_) || suspicion.word_ == SecondWord::PrimaryUnseen) {
        return true;
    }
    if (suspicion.word_ == SecondWord::PrimarySeen) {
        suspicion.word_ = SecondWord::None;
        suspicion.firstAskedAt_.reset();
        failover.retryAt_ = now + backoffDelay(primarySeenBackoff, failover.failures_++, state.random_);
        wakeFailover(state, owner, failover.retryAt_);
        return false;
    }
    if (!suspicion.firstAskedAt_ || now - suspicion.lastAskedAt_ >= askInterval) {
        askSecondWord(state, owner, now, out);
    }
    const Time loneStart = *suspicion.firstAskedAt_ + waitWithoutWord(state, owner, now);
    if (now >= loneStart) {
        return true;
    }
    wakeFailover(state, owner, std::min(loneStart, suspicion.lastAskedAt_ + askInterval));
    return false;
}

/** Whether the members that answered since the suspicion began are a majority: without one a fence could only do harm. */
bool majorityAnswers(const GroupOwner &owner)
{
    const bool leaving = owner.failover_.suspicion_.cause_ == FailoverCause::PrimaryLeaving;
    const auto answers = [&](const MemberView &member) {
        return member.status_ && member.statusAsOf_ >= owner.failover_.suspicion_.since_ && !(leaving && member.config_.leaving_);
    };
    return static_cast<std::size_t>(std::ranges::count_if(owner.view_.members_, answers)) >= majorityOf(owner.view_);
}

/** Whether some member that stays has all of a leaving primary's log, so that the change loses nothing at all. */
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
        tendGroupRecord(state, owner, now, out);
        wakeFailover(state, owner, now + askInterval);
        return;
    }
    if (needsSecondWord(failover.suspicion_.cause_) && failover.suspicion_.word_ == SecondWord::None) {
        const bool recent = now - failover.unconfirmedAt_ < unconfirmedMemory;
        failover.unconfirmed_ = recent ? failover.unconfirmed_ + 1 : 1;
        failover.unconfirmedAt_ = now;
    }
    startAttempt(state, owner, *term, now, out);
}

/** Takes the step that is due, if any, and asks to be woken for the next. */
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
        wakeFailover(state, owner, failover.retryAt_);
        return;
    }
    if (!isConfirmed(state, owner, now, out)) {
        return;
    }
    if (now < failover.suspicion_.startAt_) {
        wakeFailover(state, owner, failover.suspicion_.startAt_);
        return;
    }
    // The next round of probes, or an answer to the last, calls this again.
    if (majorityAnswers(owner) && isCaughtUp(owner, now)) {
        beginAttempt(state, owner, now, out);
    }
}

} // namespace

void startFailover(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    refreshRank(state, owner);
    tendGroupRecord(state, owner, now, out);
}

void reviewPrimary(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    learnPrimary(state, owner, now, out);
    dropFormerPrimary(state, owner, now, out);
    if (!owner.view_.primary_ && now - owner.probes_.lastRoundAt_ >= relearnInterval) {
        probeRound(state, owner, now, out);
    }
    if (updateSuspicion(state, owner, now, out)) {
        Suspicion &suspicion = owner.failover_.suspicion_;
        suspicion.startAt_ = startOf(state, owner, now);
        if (suspicion.cause_ == FailoverCause::None) {
            owner.failover_.failures_ = 0;
        } else {
            probeRound(state, owner, now, out);
        }
    }
    advance(state, owner, now, out);
}

void tendFailover(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    refreshRank(state, owner);
    tendGroupRecord(state, owner, now, out);
    tendRejoins(state, owner, now, out);
    reviewPrimary(state, owner, now, out);
}

void onFailoverTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    GroupOwner *owner = findOwner(state, tag.group_);
    if (owner == nullptr) {
        return;
    }
    if (owner->failover_.wakeAt_ && now >= *owner->failover_.wakeAt_) {
        owner->failover_.wakeAt_.reset();
    }
    reviewPrimary(state, *owner, now, out);
}

void onGroupRecordAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out)
{
    if (GroupOwner *owner = findOwner(state, call.group_)) {
        takeGroupRecordAnswer(state, *owner, answer, now, out);
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
        takeSecondWord(state, *owner, message.from_, answer);
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
        // The message may arrive twice; a block held twice would hand out the same terms twice.
        const bool known = std::ranges::any_of(owner->failover_.handedOver_, [&](const TermBlock &taken) { return taken.last_ == block.last_; });
        if (!known) {
            owner->failover_.handedOver_.push_back(block);
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

void wakeFailover(ProxyState &state, GroupOwner &owner, Time at)
{
    if (owner.failover_.wakeAt_ && *owner.failover_.wakeAt_ <= at) {
        return;
    }
    owner.failover_.wakeAt_ = at;
    state.timers_.arm(at, {TimerTopic::Failover, owner.config_.id_, 0});
}

} // namespace Figward
