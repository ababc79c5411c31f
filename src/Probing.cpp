#include "Probing.h"

#include "OwnerRequests.h"
#include "Promotion.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(1);
constexpr Duration shortestRoundInterval = std::chrono::milliseconds(10);
constexpr int roundsPerStaleness = 4; // An age is known to within a round, so a quarter of what is wanted is lost at most.
constexpr Duration wantedHalfWindow = std::chrono::milliseconds(500);
constexpr int promotionPatience = 2; // A promotion or a cut of a log takes a member longer than an answer to a probe.

Duration timeoutOf(const Policy &policy, const ControlBody &body)
{
    const bool quick = std::holds_alternative<Probe>(body) || std::holds_alternative<Fence>(body);
    return quick ? policy.probeTimeout_ : promotionPatience * policy.probeTimeout_;
}

void probe(ProxyState &state, GroupOwner &owner, const MemberView &member, Time now, Effects &out)
{
    const ControlId id = sendControl(state, owner, member, Probe{}, now, out);
    owner.probes_.outstanding_[member.config_.id_] = id;
}

/** Polls come every millisecond: one under way is enough. */
void poll(ProxyState &state, GroupOwner &owner, const MemberView &member, Time now, Effects &out)
{
    if (!owner.probes_.outstanding_.contains(member.config_.id_)) {
        probe(state, owner, member, now, out);
    }
}

void armRound(ProxyState &state, GroupOwner &owner, Time at)
{
    owner.probes_.nextRoundAt_ = at;
    state.timers_.arm(at, {TimerTopic::ProbeRound, owner.config_.id_, 0});
}

void onRoundDue(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    if (now < owner.probes_.nextRoundAt_) {
        return; // Armed before the interval became shorter; another timer is armed.
    }
    probeRound(state, owner, now, out);
    tendFailover(state, owner, now, out);
    armRound(state, owner, now + probeRoundInterval(state, owner, now));
}

/** Whether some request still waits for a replica's position. */
bool isPollWanted(const GroupOwner &owner)
{
    return owner.probes_.pollWanted_ || !owner.requests_.majority_.waiting_.empty();
}

/** Positions of the primary come with its answers; while it is not known, each member may be it. */
void onPollDue(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    ProbeState &probes = owner.probes_;
    probes.pollArmed_ = false;
    if (!isPollWanted(owner)) {
        return;
    }
    probes.pollWanted_ = false;
    for (const MemberView &member : owner.view_.members_) {
        if (owner.view_.primary_ != member.config_.id_) {
            poll(state, owner, member, now, out);
        }
    }
    probes.pollArmed_ = true;
    state.timers_.arm(now + pollInterval, {TimerTopic::PositionPoll, owner.config_.id_, 0});
}

/** A position that did not yet do is asked for again at once: waiting for the next poll would add up to its interval to each write. */
void pollOn(ProxyState &state, GroupOwner &owner, const OutstandingControl &call, Time now, Effects &out)
{
    const MemberView *member = findMember(owner.view_, call.member_);
    const bool replica = member != nullptr && owner.view_.primary_ != call.member_;
    if (replica && isPollWanted(owner) && now - call.sentAt_ >= pollInterval) {
        poll(state, owner, *member, now, out);
    }
}

/**
 * Counts a probe that brought no answer. Polls of a member whose connection is refused fail within a millisecond; without the least time between two that
 * count, a pause of three milliseconds would look like a lost member.
 */
void noteMissedProbe(ProxyState &state, GroupOwner &owner, MemberView &member, const OutstandingControl &call, Time now, Effects &out)
{
    const Policy &policy = state.configuration_.policy_;
    const bool counts = member.missedProbes_ == 0 || now - member.missedAt_ >= policy.probeTimeout_ * 9 / 10;
    if (!counts) {
        return;
    }
    ++member.missedProbes_;
    member.missedAt_ = now;
    const bool timedOut = now - call.sentAt_ >= policy.probeTimeout_ / 2;
    if (timedOut && member.missedProbes_ < policy.missedProbes_) {
        poll(state, owner, member, now, out);
    }
}

void takeAnswer(GroupOwner &owner, MemberView &member, const OutstandingControl &call, const ControlAnswer &answer)
{
    member.missedProbes_ = 0;
    noteStatus(owner.view_, call.member_, answer.status_, call.sentAt_);
    noteAgeAnswer(owner.ages_, owner.view_, call.sentAt_, call.member_, answer.status_);
}

/** Hands the end of a call to the step that made it. */
void handOn(ProxyState &state, GroupOwner &owner, const OutstandingControl &call, const ControlAnswer &answer, Time now, Effects &out)
{
    if (std::holds_alternative<Probe>(call.body_)) {
        answerPendingWord(state, owner, answer, out);
    } else if (std::holds_alternative<Fence>(call.body_)) {
        onFenceAnswered(state, owner, call, answer, now, out);
    } else if (std::holds_alternative<Promote>(call.body_)) {
        onPromoteAnswered(state, owner, call, answer, now, out);
    }
}

} // namespace

void startProbing(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    probeRound(state, owner, now, out);
    armRound(state, owner, now + probeRoundInterval(state, owner, now));
}

void probeRound(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    owner.probes_.lastRoundAt_ = now;
    openAgeRound(owner.ages_, now);
    for (const MemberView &member : owner.view_.members_) {
        // Also where a poll is under way: it was sent before this instant and proves nothing about it. While writes wait one always is.
        probe(state, owner, member, now, out);
    }
}

void pollPositions(ProxyState &state, GroupOwner &owner, Time now, Effects & /*out*/)
{
    owner.probes_.pollWanted_ = true;
    if (owner.probes_.pollArmed_) {
        return;
    }
    owner.probes_.pollArmed_ = true;
    state.timers_.arm(now + pollInterval, {TimerTopic::PositionPoll, owner.config_.id_, 0});
}

void noteStalenessWanted(ProxyState &state, GroupOwner &owner, Duration maxStaleness, Time now)
{
    StalenessWanted &wanted = owner.probes_.wanted_;
    if (now - wanted.halfSince_ >= wantedHalfWindow) {
        const bool justBefore = now - wanted.halfSince_ < 2 * wantedHalfWindow;
        wanted.former_ = justBefore ? wanted.present_ : std::nullopt;
        wanted.present_.reset();
        wanted.halfSince_ = now;
    }
    wanted.present_ = std::min(wanted.present_.value_or(maxStaleness), maxStaleness);
    const Time sooner = now + probeRoundInterval(state, owner, now);
    if (sooner < owner.probes_.nextRoundAt_) {
        armRound(state, owner, sooner);
    }
}

Duration probeRoundInterval(const ProxyState &state, const GroupOwner &owner, Time now)
{
    const Policy &policy = state.configuration_.policy_;
    const bool watchful = owner.failover_.rank_ == 0 || !owner.view_.primary_ || owner.failover_.suspicion_.cause_ != FailoverCause::None;
    Duration interval = watchful ? policy.probeInterval_ : policy.slowProbeInterval_;
    const StalenessWanted &wanted = owner.probes_.wanted_;
    if (now - wanted.halfSince_ >= 2 * wantedHalfWindow) {
        return interval;
    }
    for (const std::optional<Duration> &staleness : {wanted.present_, wanted.former_}) {
        if (staleness) {
            interval = std::min(interval, std::max(shortestRoundInterval, *staleness / roundsPerStaleness));
        }
    }
    return interval;
}

ControlId sendControl(ProxyState &state, const GroupOwner &owner, const MemberView &member, ControlBody body, Time now, Effects &out)
{
    const ControlId id(takeId(state));
    state.controls_[id] = {owner.config_.id_, member.config_.id_, now, body};
    const Duration timeout = timeoutOf(state.configuration_.policy_, body);
    out.push_back(SendControl{member.config_.id_, member.config_.address_, timeout, {id, std::move(body)}});
    return id;
}

void onProbeTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    GroupOwner *owner = findOwner(state, tag.group_);
    if (owner == nullptr) {
        return;
    }
    if (tag.topic_ == TimerTopic::ProbeRound) {
        onRoundDue(state, *owner, now, out);
    } else {
        onPollDue(state, *owner, now, out);
    }
}

void onControlAnswered(ProxyState &state, const ControlAnswer &answer, Time now, Effects &out)
{
    const auto found = state.controls_.find(answer.id_);
    if (found == state.controls_.end()) {
        return;
    }
    const OutstandingControl call = std::move(found->second);
    state.controls_.erase(found);
    GroupOwner *owner = findOwner(state, call.group_);
    if (owner == nullptr) {
        return;
    }
    const auto probe = owner->probes_.outstanding_.find(call.member_);
    if (probe != owner->probes_.outstanding_.end() && probe->second == answer.id_) {
        owner->probes_.outstanding_.erase(probe);
    }
    MemberView *member = findMember(owner->view_, call.member_);
    if (member != nullptr && answer.result_ != ControlResult::Failed) {
        takeAnswer(*owner, *member, call, answer);
    } else if (member != nullptr && std::holds_alternative<Probe>(call.body_)) {
        noteMissedProbe(state, *owner, *member, call, now, out);
    }
    handOn(state, *owner, call, answer, now, out);
    onGroupViewChanged(state, *owner, now, out);
    reviewPrimary(state, *owner, now, out);
    if (answer.result_ != ControlResult::Failed && std::holds_alternative<Probe>(call.body_)) {
        pollOn(state, *owner, call, now, out);
    }
}

} // namespace Figward
