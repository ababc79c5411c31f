#include "Fencing.h"

#include "Backoff.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration attemptTimeout = std::chrono::milliseconds(1500);
constexpr Duration stragglerWait = std::chrono::milliseconds(20); // Wait for further members, beyond a majority, that answered their last probe.
constexpr Backoff attemptBackoff{std::chrono::milliseconds(200), 3};

std::string_view toString(AbandonReason reason)
{
    switch (reason) {
    case AbandonReason::Overtaken:
        return "overtaken";
    case AbandonReason::TimedOut:
        return "timed-out";
    case AbandonReason::Refused:
        return "refused";
    case AbandonReason::NoAnswer:
        return "no-answer";
    }
    return "";
}

bool isFenced(const FencingAttempt &attempt, const MemberView &member)
{
    return attempt.fenced_.contains(member.config_.id_);
}

/** Whether a member that is not fenced yet, and may have a longer log, is likely to answer soon. */
bool expectsMoreFences(const GroupOwner &owner)
{
    const FencingAttempt &attempt = *owner.failover_.attempt_;
    return std::ranges::any_of(owner.view_.members_, [&](const MemberView &m) { return m.missedProbes_ == 0 && !isFenced(attempt, m); });
}

void promoteWhenReady(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    FencingAttempt &attempt = *owner.failover_.attempt_;
    if (attempt.chosen_ || attempt.fenced_.size() < majorityOf(owner.view_)) {
        return;
    }
    if (!attempt.majorityAt_) {
        attempt.majorityAt_ = now;
    }
    const Time waitEnds = *attempt.majorityAt_ + stragglerWait;
    if (expectsMoreFences(owner) && now < waitEnds) {
        scheduleFailoverReview(state, owner, waitEnds);
        return;
    }
    attempt.chosen_ = chooseSuccessor(owner.view_, attempt);
    promoteChosen(state, owner, now, out);
}

/**
 * Returns the fenced member with the greatest log. Among equal logs it prefers the current primary, which already serves its callers, then the order of the
 * configuration.
 */
MemberId greatestLog(const GroupView &view, const FencingAttempt &attempt, bool withLeaving)
{
    const MemberView *best = nullptr;
    for (const MemberView &member : view.members_) {
        if (!isFenced(attempt, member) || (member.config_.leaving_ && !withLeaving)) {
            continue;
        }
        const auto preference = [&](const MemberView &m) {
            return std::tuple(attempt.fenced_.at(m.config_.id_), !m.config_.leaving_, view.primary_ == m.config_.id_);
        };
        if (best == nullptr || preference(member) > preference(*best)) {
            best = &member;
        }
    }
    return best->config_.id_;
}

} // namespace

void startAttempt(ProxyState &state, GroupOwner &owner, Term term, Time now, Effects &out)
{
    owner.failover_.attempt_ = FencingAttempt{term, now};
    const std::string &group = owner.config_.id_.value();
    out.push_back(WriteLog{LogNumber::FailoverStarted, {{"group", group}, {"term", std::to_string(term.value())}}});
    for (const MemberView &member : owner.view_.members_) {
        sendControl(state, owner, member, Fence{term}, now, out);
    }
    scheduleFailoverReview(state, owner, now + attemptTimeout);
}

void reviewAttempt(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    const FencingAttempt &attempt = *owner.failover_.attempt_;
    if (std::max(owner.view_.term_, highestFence(owner.view_)) > attempt.term_) {
        abandonAttempt(state, owner, AbandonReason::Overtaken, now, out);
        return;
    }
    const bool promoted = attempt.chosen_ && owner.view_.term_ == attempt.term_ && owner.view_.primary_ == attempt.chosen_;
    if (promoted) {
        // A probe reported the promotion before the answer to the Promote call arrived; that answer may be lost.
        completePromotion(state, owner, now, out);
        return;
    }
    if (now - attempt.startedAt_ >= attemptTimeout) {
        // This also ends an attempt after a pause of this process: the other owners have continued meanwhile, and what this one knows of them is stale.
        abandonAttempt(state, owner, AbandonReason::TimedOut, now, out);
        return;
    }
    scheduleFailoverReview(state, owner, attempt.startedAt_ + attemptTimeout);
    promoteWhenReady(state, owner, now, out);
}

void onFenceAnswered(ProxyState &state, GroupOwner &owner, const OutstandingControl &call, const ControlAnswer &answer, Time now, Effects &out)
{
    std::optional<FencingAttempt> &attempt = owner.failover_.attempt_;
    const Term term = std::get<Fence>(call.body_).term_;
    const MemberView *member = findMember(owner.view_, call.member_);
    if (!attempt || attempt->term_ != term || member == nullptr || now - attempt->startedAt_ >= attemptTimeout) {
        return;
    }
    if (answer.result_ == ControlResult::Failed) {
        const Duration took = now - call.sentAt_;
        if (!attempt->chosen_ && took >= state.configuration_.policy_.probeTimeout_ / 2) {
            sendControl(state, owner, *member, Fence{term}, now, out);
        }
        return;
    }
    // A refusal with exactly this term means that the fence took effect earlier and its answer was lost. No other owner can have used this term.
    if (answer.status_.fenced_ == term) {
        attempt->fenced_[call.member_] = answer.status_.log_;
        promoteWhenReady(state, owner, now, out);
    }
}

void abandonAttempt(ProxyState &state, GroupOwner &owner, AbandonReason reason, Time now, Effects &out)
{
    FailoverState &failover = owner.failover_;
    const std::string term = std::to_string(failover.attempt_->term_.value());
    out.push_back(WriteLog{LogNumber::FailoverAbandoned, {{"group", owner.config_.id_.value()}, {"term", term}, {"reason", std::string(toString(reason))}}});
    failover.attempt_.reset();
    failover.retryAt_ = now + backoffDelay(attemptBackoff, failover.failures_++, state.random_);
    scheduleFailoverReview(state, owner, failover.retryAt_);
}

MemberId chooseSuccessor(const GroupView &view, const FencingAttempt &attempt)
{
    const auto stays = [&](const MemberView &member) { return isFenced(attempt, member) && !member.config_.leaving_; };
    const auto staying = static_cast<std::size_t>(std::ranges::count_if(view.members_, stays));
    // If the fenced members that stay are a majority, they hold every acknowledged write by themselves. Only then may a longer log of a leaving member be
    // ignored.
    return greatestLog(view, attempt, staying < majorityOf(view));
}

} // namespace Figward
