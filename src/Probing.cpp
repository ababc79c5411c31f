#include "Probing.h"

#include "OwnerRequests.h"
#include "Promotion.h"
#include "ProxyState.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(1);
constexpr Duration minRoundInterval = std::chrono::milliseconds(10);
constexpr int roundsPerStalenessBound = 4; // An age is known to within one round, so its error is at most a quarter of the requested bound.
constexpr Duration stalenessHalfWindow = std::chrono::milliseconds(500);
constexpr int promotionTimeoutFactor = 2; // A member takes longer to promote itself or to truncate its log than to answer a probe.

Duration timeoutOf(const Policy &policy, const ControlBody &body)
{
    const bool quick = std::holds_alternative<Probe>(body) || std::holds_alternative<Fence>(body);
    return quick ? policy.probeTimeout_ : promotionTimeoutFactor * policy.probeTimeout_;
}

void probe(ProxyState &state, GroupOwner &owner, const MemberView &member, Time now, Effects &out)
{
    const ControlId id = sendControl(state, owner, member, Probe{}, now, out);
    owner.probes_.outstanding_[member.config_.id_] = id;
}

/** Polls a member unless a probe is in flight: polls occur every millisecond, and one in flight is enough. */
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
        return; // This timer was armed before the interval was shortened; another timer is armed.
    }
    probeRound(state, owner, now, out);
    maintainFailover(state, owner, now, out);
    armRound(state, owner, now + probeRoundInterval(state, owner, now));
}

/** Whether a request still waits for a replica's position. */
bool isPollNeeded(const GroupOwner &owner)
{
    return owner.probes_.pollRequested_ || !owner.requests_.majority_.waiting_.empty();
}

/** Polls all members but the primary, whose position arrives with its answers. While no primary is known, all members are polled. */
void onPollDue(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    ProbeState &probes = owner.probes_;
    probes.pollArmed_ = false;
    if (!isPollNeeded(owner)) {
        return;
    }
    probes.pollRequested_ = false;
    for (const MemberView &member : owner.view_.members_) {
        if (owner.view_.primary_ != member.config_.id_) {
            poll(state, owner, member, now, out);
        }
    }
    probes.pollArmed_ = true;
    state.timers_.arm(now + pollInterval, {TimerTopic::PositionPoll, owner.config_.id_, 0});
}

/** Polls a member again at once if its position is not yet sufficient. Waiting for the next poll would add up to the poll interval to each write. */
void pollAgain(ProxyState &state, GroupOwner &owner, const OutstandingControl &call, Time now, Effects &out)
{
    const MemberView *member = findMember(owner.view_, call.member_);
    const bool replica = member != nullptr && owner.view_.primary_ != call.member_;
    if (replica && isPollNeeded(owner) && now - call.sentAt_ >= pollInterval) {
        poll(state, owner, *member, now, out);
    }
}

/**
 * Counts a missed probe. Polls of a member that refuses connections fail within a millisecond; without a minimum time between two counted misses, a pause of
 * three milliseconds would look like the failure of the member.
 */
void countMissedProbe(ProxyState &state, GroupOwner &owner, MemberView &member, const OutstandingControl &call, Time now, Effects &out)
{
    const Policy &policy = state.configuration_.policy_;
    const bool counts = member.missedProbes_ == 0 || now - member.lastMissedAt_ >= policy.probeTimeout_ * 9 / 10;
    if (!counts) {
        return;
    }
    ++member.missedProbes_;
    member.lastMissedAt_ = now;
    const bool timedOut = now - call.sentAt_ >= policy.probeTimeout_ / 2;
    if (timedOut && member.missedProbes_ < policy.missedProbes_) {
        poll(state, owner, member, now, out);
    }
}

void recordAnswer(GroupOwner &owner, MemberView &member, const OutstandingControl &call, const ControlAnswer &answer)
{
    member.missedProbes_ = 0;
    recordStatus(owner.view_, call.member_, answer.status_, call.sentAt_);
    recordAgeAnswer(owner.ages_, owner.view_, call.sentAt_, call.member_, answer.status_);
}

/** Passes the result of a call to the step that made it. */
void passToCallingStep(ProxyState &state, GroupOwner &owner, const OutstandingControl &call, const ControlAnswer &answer, Time now, Effects &out)
{
    if (std::holds_alternative<Probe>(call.body_)) {
        sendPendingPeerReport(state, owner, answer, out);
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
        // A member with a poll in flight is probed as well: that poll was sent earlier and proves nothing about the present time. While writes wait, a poll is
        // always in flight.
        probe(state, owner, member, now, out);
    }
}

void pollPositions(ProxyState &state, GroupOwner &owner, Time now, Effects & /*out*/)
{
    owner.probes_.pollRequested_ = true;
    if (owner.probes_.pollArmed_) {
        return;
    }
    owner.probes_.pollArmed_ = true;
    state.timers_.arm(now + pollInterval, {TimerTopic::PositionPoll, owner.config_.id_, 0});
}

void recordRequestedStaleness(ProxyState &state, GroupOwner &owner, Duration maxStaleness, Time now)
{
    RequestedStaleness &requested = owner.probes_.requestedStaleness_;
    if (now - requested.halfSince_ >= stalenessHalfWindow) {
        const bool justBefore = now - requested.halfSince_ < 2 * stalenessHalfWindow;
        requested.previous_ = justBefore ? requested.current_ : std::nullopt;
        requested.current_.reset();
        requested.halfSince_ = now;
    }
    requested.current_ = std::min(requested.current_.value_or(maxStaleness), maxStaleness);
    const Time sooner = now + probeRoundInterval(state, owner, now);
    if (sooner < owner.probes_.nextRoundAt_) {
        armRound(state, owner, sooner);
    }
}

Duration probeRoundInterval(const ProxyState &state, const GroupOwner &owner, Time now)
{
    const Policy &policy = state.configuration_.policy_;
    const bool probesOften = owner.failover_.rank_ == 0 || !owner.view_.primary_ || owner.failover_.suspicion_.cause_ != FailoverCause::None;
    Duration interval = probesOften ? policy.probeInterval_ : policy.slowProbeInterval_;
    const RequestedStaleness &requested = owner.probes_.requestedStaleness_;
    if (now - requested.halfSince_ >= 2 * stalenessHalfWindow) {
        return interval;
    }
    for (const std::optional<Duration> &staleness : {requested.current_, requested.previous_}) {
        if (staleness) {
            interval = std::min(interval, std::max(minRoundInterval, *staleness / roundsPerStalenessBound));
        }
    }
    return interval;
}

ControlId sendControl(ProxyState &state, const GroupOwner &owner, const MemberView &member, ControlBody body, Time now, Effects &out)
{
    const ControlId id(allocateId(state));
    state.outstandingControls_[id] = {owner.config_.id_, member.config_.id_, now, body};
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
    const auto found = state.outstandingControls_.find(answer.id_);
    if (found == state.outstandingControls_.end()) {
        return;
    }
    const OutstandingControl call = std::move(found->second);
    state.outstandingControls_.erase(found);
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
        recordAnswer(*owner, *member, call, answer);
    } else if (member != nullptr && std::holds_alternative<Probe>(call.body_)) {
        countMissedProbe(state, *owner, *member, call, now, out);
    }
    passToCallingStep(state, *owner, call, answer, now, out);
    onGroupViewChanged(state, *owner, now, out);
    reviewPrimary(state, *owner, now, out);
    if (answer.result_ != ControlResult::Failed && std::holds_alternative<Probe>(call.body_)) {
        pollAgain(state, *owner, call, now, out);
    }
}

} // namespace Figward
