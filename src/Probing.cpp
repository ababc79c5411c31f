#include "Probing.h"

#include "OwnerRequests.h"
#include "ProxyState.h"

namespace Figward {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(1);

void probe(ProxyState &state, GroupOwner &owner, const MemberView &member, std::uint64_t round, Time now, Effects &out)
{
    if (!owner.probes_.outstanding_.insert(member.config_.id_).second) {
        return;
    }
    const ControlId id(takeId(state));
    state.controls_[id] = {owner.config_.id_, member.config_.id_, now, round};
    out.push_back(SendControl{member.config_.id_, member.config_.address_, state.configuration_.policy_.probeTimeout_, {id, Probe{}}});
}

void probeRound(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    const std::uint64_t round = takeId(state);
    openAgeRound(owner.ages_, round, now);
    for (const MemberView &member : owner.view_.members_) {
        probe(state, owner, member, round, now, out);
    }
}

/** A member that calls itself primary of a term as high as any known is the primary. */
void learnPrimary(ProxyState &state, GroupOwner &owner, const MemberId &member, const MemberStatus &status, Time now, Effects &out)
{
    const bool newer = status.primary_ && status.log_.term_ >= owner.view_.term_;
    const bool known = owner.view_.primary_ == member && owner.view_.term_ == status.log_.term_;
    if (!newer || known || status.fenced_ > status.log_.term_) {
        return;
    }
    owner.view_.term_ = status.log_.term_;
    owner.view_.primary_ = member;
    onPrimaryChanged(state, owner, now, out);
}

} // namespace

void startProbing(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    probeRound(state, owner, now, out);
    state.timers_.arm(now + state.configuration_.policy_.probeInterval_, {TimerTopic::ProbeRound, owner.config_.id_, 0});
}

void pollPositions(ProxyState &state, GroupOwner &owner, Time now, Effects & /*out*/)
{
    if (owner.probes_.pollArmed_) {
        return;
    }
    owner.probes_.pollArmed_ = true;
    state.timers_.arm(now + pollInterval, {TimerTopic::PositionPoll, owner.config_.id_, 0});
}

void onProbeTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    GroupOwner *owner = findOwner(state, tag.group_);
    if (owner == nullptr) {
        return;
    }
    probeRound(state, *owner, now, out);
    if (tag.topic_ == TimerTopic::ProbeRound) {
        state.timers_.arm(now + state.configuration_.policy_.probeInterval_, {TimerTopic::ProbeRound, tag.group_, 0});
        return;
    }
    owner->probes_.pollArmed_ = false;
    if (!owner->requests_.majority_.waiting_.empty()) {
        pollPositions(state, *owner, now, out);
    }
}

void onControlAnswered(ProxyState &state, const ControlAnswer &answer, Time now, Effects &out)
{
    const auto found = state.controls_.find(answer.id_);
    if (found == state.controls_.end()) {
        return;
    }
    const OutstandingControl control = std::move(found->second);
    state.controls_.erase(found);
    GroupOwner *owner = findOwner(state, control.group_);
    if (owner == nullptr) {
        return;
    }
    owner->probes_.outstanding_.erase(control.member_);
    MemberView *member = findMember(owner->view_, control.member_);
    if (member == nullptr) {
        return;
    }
    if (answer.result_ == ControlResult::Failed) {
        ++member->missedProbes_;
    } else {
        member->missedProbes_ = 0;
        noteStatus(owner->view_, control.member_, answer.status_, control.sentAt_);
        learnPrimary(state, *owner, control.member_, answer.status_, now, out);
        noteAgeAnswer(owner->ages_, owner->view_, control.round_, control.member_, answer.status_);
    }
    onGroupViewChanged(state, *owner, now, out);
    reviewPrimary(state, *owner, now, out);
}

} // namespace Figward
