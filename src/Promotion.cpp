#include "Promotion.h"

#include "Backoff.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr unsigned maxPromotions = 3;
constexpr Duration firstFollowRetryDelay = std::chrono::milliseconds(500);
constexpr unsigned maxRejoinDoublings = 5;
constexpr Duration rejoinRankDelay = std::chrono::seconds(3);

void follow(ProxyState &state, GroupOwner &owner, const MemberView &member, Time now, Effects &out)
{
    RejoinState &rejoin = owner.failover_.rejoins_[member.config_.id_];
    if (rejoin.term_ != owner.view_.term_) {
        rejoin = {owner.view_.term_};
    }
    // Each call may restart the member's replication, so a member that lags by seconds needs increasing intervals to make progress.
    rejoin.nextAt_ = now + firstFollowRetryDelay * (1 << std::min(rejoin.calls_, maxRejoinDoublings));
    ++rejoin.calls_;
    sendControl(state, owner, member, Follow{*owner.view_.primary_, owner.view_.term_}, now, out);
}

/** Whether the last log entry that \p member reported is of the current term, and \p member is not primary itself. */
bool appearsToFollow(const GroupView &view, const MemberView &member)
{
    const bool follows = member.status_->log_.term_ == view.term_;
    return follows && !member.status_->primary_;
}

} // namespace

void promoteChosen(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    FencingAttempt &attempt = *owner.failover_.attempt_;
    ++attempt.promotions_;
    sendControl(state, owner, *findMember(owner.view_, *attempt.chosen_), Promote{attempt.term_}, now, out);
}

void onPromoteAnswered(ProxyState &state, GroupOwner &owner, const OutstandingControl &call, const ControlAnswer &answer, Time now, Effects &out)
{
    const std::optional<FencingAttempt> &attempt = owner.failover_.attempt_;
    const Term term = std::get<Promote>(call.body_).term_;
    if (!attempt || attempt->term_ != term || attempt->chosen_ != call.member_) {
        return;
    }
    if (answer.result_ == ControlResult::Failed) {
        if (attempt->promotions_ < maxPromotions) {
            promoteChosen(state, owner, now, out);
        } else {
            abandonAttempt(state, owner, AbandonReason::NoAnswer, now, out);
        }
        return;
    }
    if (std::max(owner.view_.term_, highestFence(owner.view_)) > term) {
        abandonAttempt(state, owner, AbandonReason::Overtaken, now, out);
        return;
    }
    // A refusal by a member that is primary in exactly this term means that the first call took effect and its answer was lost.
    const bool promoted = answer.result_ == ControlResult::Ok || (answer.status_.primary_ && answer.status_.log_.term_ == term);
    if (!promoted) {
        abandonAttempt(state, owner, AbandonReason::Refused, now, out);
        return;
    }
    completePromotion(state, owner, now, out);
}

void completePromotion(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    const FencingAttempt attempt = *owner.failover_.attempt_;
    owner.failover_.attempt_.reset();
    owner.failover_.failures_ = 0;
    const std::string term = std::to_string(attempt.term_.value());
    out.push_back(WriteLog{LogNumber::PrimaryPromoted, {{"group", owner.config_.id_.value()}, {"term", term}, {"member", attempt.chosen_->value()}}});
    for (const MemberView &member : owner.view_.members_) {
        owner.failover_.rejoins_.erase(member.config_.id_);
    }
    const bool known = owner.view_.term_ == attempt.term_ && owner.view_.primary_ == attempt.chosen_;
    if (!known) {
        adoptPrimary(state, owner, attempt.term_, *attempt.chosen_, now, out);
    }
    for (const MemberView &member : owner.view_.members_) {
        if (member.config_.id_ != *attempt.chosen_) {
            follow(state, owner, member, now, out);
        }
    }
    sendPrimaryNews(state, owner, out);
    maintainGroupRecord(state, owner, now, out);
}

void maintainRejoins(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    const GroupView &view = owner.view_;
    const MemberView *primary = primaryOf(view);
    const bool settled =
        primary != nullptr && primary->status_ && primary->status_->primary_ && primary->status_->log_.term_ == view.term_ && highestFence(view) <= view.term_;
    if (!settled || owner.failover_.attempt_ || now < owner.failover_.primarySince_ + owner.failover_.rank_ * rejoinRankDelay) {
        return;
    }
    for (const MemberView &member : view.members_) {
        const bool unavailable = !member.status_ || member.missedProbes_ > 0 || member.config_.id_ == primary->config_.id_;
        if (unavailable || appearsToFollow(view, member)) {
            continue;
        }
        const auto rejoin = owner.failover_.rejoins_.find(member.config_.id_);
        const bool tooSoon = rejoin != owner.failover_.rejoins_.end() && rejoin->second.term_ == view.term_ && now < rejoin->second.nextAt_;
        if (!tooSoon) {
            const std::string &group = owner.config_.id_.value();
            out.push_back(WriteLog{LogNumber::MemberRejoins, {{"group", group}, {"member", member.config_.id_.value()}}});
            follow(state, owner, member, now, out);
        }
    }
}

void sendPrimaryNews(ProxyState &state, const GroupOwner &owner, Effects &out)
{
    for (const VmInfo &vm : ownersOf(state, owner.config_.id_)) {
        if (vm.id_ != state.identity_.self_.id_) {
            sendPeer(state, vm, PrimaryNews{owner.config_.id_, owner.view_.term_, *owner.view_.primary_}, out);
        }
    }
}

} // namespace Figward
