#include "Suspicion.h"

#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

/** The term that a suspicion with \p cause refers to; a different term means a new suspicion. */
Term subjectOf(const GroupView &view, FailoverCause cause)
{
    return cause == FailoverCause::StalledFailover ? highestFence(view) : view.term_;
}

bool isAccountedFor(const MemberView &member, unsigned missedProbes)
{
    return member.status_ || member.missedProbes_ >= missedProbes;
}

bool isOtherZone(const ProxyState &state, VmId id)
{
    const VmInfo *vm = findVm(state, id);
    return vm != nullptr && vm->zone_ != state.identity_.self_.zone_;
}

/** Whether the report of \p id counts as a confirmation: \p id must be an owner in another zone, or any other owner if all are in this zone. */
bool mayConfirm(const ProxyState &state, const GroupOwner &owner, VmId id)
{
    const std::vector<VmInfo> owners = ownersOf(state, owner.config_.id_);
    const bool elsewhere = std::ranges::any_of(owners, [&](const VmInfo &vm) { return vm.zone_ != state.identity_.self_.zone_; });
    return !elsewhere || isOtherZone(state, id);
}

bool primaryAnswered(const ControlAnswer &answer, Term term)
{
    const bool live = answer.result_ != ControlResult::Failed && answer.status_.primary_;
    return live && answer.status_.log_.term_ >= term && answer.status_.fenced_ <= answer.status_.log_.term_;
}

} // namespace

FailoverCause failoverCause(const ProxyState &state, const GroupOwner &owner)
{
    const GroupView &view = owner.view_;
    const unsigned missedProbes = state.configuration_.policy_.missedProbes_;
    if (highestFence(view) > view.term_) {
        return FailoverCause::StalledFailover;
    }
    const MemberView *primary = primaryOf(view);
    if (primary == nullptr) {
        const bool accounted = std::ranges::all_of(view.members_, [&](const MemberView &m) { return isAccountedFor(m, missedProbes); });
        return accounted ? FailoverCause::NoPrimary : FailoverCause::None;
    }
    if (primary->missedProbes_ >= missedProbes) {
        return FailoverCause::PrimaryLost;
    }
    return primary->config_.leaving_ ? FailoverCause::PrimaryLeaving : FailoverCause::None;
}

bool updateSuspicion(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    const FailoverCause cause = failoverCause(state, owner);
    const Term subject = subjectOf(owner.view_, cause);
    Suspicion &suspicion = owner.failover_.suspicion_;
    if (suspicion.cause_ == cause && (suspicion.term_ == subject || cause == FailoverCause::None)) {
        return false;
    }
    suspicion = {cause, subject, now};
    if (cause == FailoverCause::PrimaryLost) {
        const std::string &member = owner.view_.primary_->value();
        out.push_back(WriteLog{LogNumber::MemberSuspected, {{"group", owner.config_.id_.value()}, {"member", member}}});
    }
    return true;
}

bool needsPeerReport(FailoverCause cause)
{
    return cause == FailoverCause::PrimaryLost || cause == FailoverCause::NoPrimary;
}

void requestPeerReports(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    Suspicion &suspicion = owner.failover_.suspicion_;
    suspicion.lastAskedAt_ = now;
    if (!suspicion.firstAskedAt_) {
        suspicion.firstAskedAt_ = now;
    }
    for (const VmInfo &vm : ownersOf(state, owner.config_.id_)) {
        if (vm.id_ != state.identity_.self_.id_) {
            sendPeer(state, vm, SuspicionQuery{owner.config_.id_, owner.view_.term_, owner.view_.primary_.value_or(MemberId())}, out);
        }
    }
}

void answerSuspicionQuery(ProxyState &state, GroupOwner &owner, const VmInfo &requester, const SuspicionQuery &query, Time now, Effects &out)
{
    const bool requesterIsBehind = owner.view_.primary_ && (owner.view_.term_ > query.term_ || query.primary_ == MemberId());
    if (requesterIsBehind) {
        sendPeer(state, requester, PrimaryNews{query.group_, owner.view_.term_, *owner.view_.primary_}, out);
        return;
    }
    const MemberView *primary = findMember(owner.view_, query.primary_);
    if (primary == nullptr) {
        sendPeer(state, requester, SuspicionAnswer{query.group_, query.term_, false}, out);
        return;
    }
    const auto sameRequester = [&](const auto &entry) { return entry.second.requester_.id_ == requester.id_; };
    if (std::ranges::none_of(owner.failover_.pendingPeerReports_, sameRequester)) {
        // A probe already in flight is not sufficient: the primary may have failed after answering it.
        const ControlId probe = sendControl(state, owner, *primary, Probe{}, now, out);
        owner.failover_.pendingPeerReports_[probe] = {requester, query.term_};
    }
}

void sendPendingPeerReport(ProxyState &state, GroupOwner &owner, const ControlAnswer &answer, Effects &out)
{
    const auto found = owner.failover_.pendingPeerReports_.find(answer.id_);
    if (found == owner.failover_.pendingPeerReports_.end()) {
        return;
    }
    const PendingPeerReport pending = found->second;
    owner.failover_.pendingPeerReports_.erase(found);
    sendPeer(state, pending.requester_, SuspicionAnswer{owner.config_.id_, pending.term_, primaryAnswered(answer, pending.term_)}, out);
}

void recordPeerReport(const ProxyState &state, GroupOwner &owner, VmId from, const SuspicionAnswer &answer)
{
    Suspicion &suspicion = owner.failover_.suspicion_;
    const bool reportExpected = suspicion.firstAskedAt_ && needsPeerReport(suspicion.cause_) && answer.term_ == owner.view_.term_;
    if (!reportExpected) {
        return;
    }
    if (answer.primarySeen_) {
        suspicion.peerReport_ = PeerReport::PrimarySeen;
        return;
    }
    if (suspicion.peerReport_ == PeerReport::None && mayConfirm(state, owner, from)) {
        suspicion.peerReport_ = PeerReport::PrimaryUnseen;
    }
}

} // namespace Figward
