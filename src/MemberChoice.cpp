#include "MemberChoice.h"

#include "GroupOwner.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr unsigned missedProbesToAvoid = 2;

bool circuitAllows(const GroupOwner &owner, const MemberId &member, Time now)
{
    const auto circuit = owner.pool_.circuits_.find(member);
    return circuit == owner.pool_.circuits_.end() || allowsWork(circuit->second, now);
}

bool isFreshEnough(const GroupOwner &owner, const MemberView &member, const ReadNeeds &needs, Time now)
{
    if (needs.after_ && !contains(*member.status_, *needs.after_)) {
        return false;
    }
    if (!needs.maxStaleness_) {
        return true;
    }
    const std::optional<Duration> age = replicaAge(owner.ages_, member, now);
    return age && *age <= *needs.maxStaleness_;
}

/**
 * Whether the primary was confirmed by a majority no longer ago than the read accepts. A primary that was cut off and replaced answers as readily as ever;
 * without this its data would pass for fresh, whatever age was stated.
 */
bool isConfirmed(const GroupOwner &owner, const ReadNeeds &needs, Time now)
{
    const MemberView *primary = primaryOf(owner.view_);
    if (!needs.maxStaleness_) {
        return true;
    }
    const std::optional<Duration> age = primary == nullptr ? std::nullopt : replicaAge(owner.ages_, *primary, now);
    return age && *age <= *needs.maxStaleness_;
}

bool serves(const GroupOwner &owner, const MemberView &member, const ReadNeeds &needs, Time now)
{
    const bool usable = member.status_ && !member.config_.leaving_ && member.missedProbes_ < missedProbesToAvoid;
    return usable && owner.view_.primary_ != member.config_.id_ && circuitAllows(owner, member.config_.id_, now) && isFreshEnough(owner, member, needs, now);
}

/** Smaller is better: a member in the same zone before others, then the one with the fewest busy connections. */
std::pair<bool, std::size_t> costOf(const GroupOwner &owner, const MemberView &member, const ZoneId &zone)
{
    const auto busyHere = [&](const auto &entry) { return entry.second.member_ == member.config_.id_ && entry.second.use_ != ConnectionUse::Idle; };
    const auto busy = std::ranges::count_if(owner.pool_.connections_, busyHere);
    return {member.config_.zone_ != zone, static_cast<std::size_t>(busy)};
}

const MemberView *bestReplica(const GroupOwner &owner, const ReadNeeds &needs, const ZoneId &zone, Time now)
{
    const MemberView *best = nullptr;
    for (const MemberView &member : owner.view_.members_) {
        if (!serves(owner, member, needs, now)) {
            continue;
        }
        if (best == nullptr || costOf(owner, member, zone) < costOf(owner, *best, zone)) {
            best = &member;
        }
    }
    return best;
}

} // namespace

ReadNeeds needsOf(const Request &request, const GroupId &group)
{
    ReadNeeds needs;
    const auto point = request.token_.points_.find(group);
    if (point != request.token_.points_.end()) {
        needs.after_ = point->second;
    }
    needs.maxStaleness_ = request.maxStaleness_;
    return needs;
}

MemberChoice chooseForRead(const GroupOwner &owner, const ReadNeeds &needs, const ZoneId &zone, Time now, bool mayWait)
{
    const bool replicaAllowed = needs.after_ || needs.maxStaleness_;
    if (replicaAllowed) {
        if (const MemberView *replica = bestReplica(owner, needs, zone, now)) {
            return {ReadStep::UseReplica, replica->config_.id_};
        }
        if (mayWait) {
            return {ReadStep::Wait, {}};
        }
    }
    const std::optional<MemberId> primary = usablePrimary(owner, now);
    // A token of a later term than the one known here says that this primary has been replaced: it may lack the session's own writes.
    const bool replaced = needs.after_ && needs.after_->term_ > owner.view_.term_;
    if (!primary || replaced || !isConfirmed(owner, needs, now)) {
        return {ReadStep::Unserved, {}};
    }
    return {ReadStep::UsePrimary, *primary};
}

std::optional<MemberId> usablePrimary(const GroupOwner &owner, Time now)
{
    const MemberView *primary = primaryOf(owner.view_);
    // A primary below the highest fence has been replaced or soon will be; what it answers could not be acknowledged.
    const bool usable = primary != nullptr && !primary->config_.leaving_ && highestFence(owner.view_) <= owner.view_.term_;
    if (!usable || !circuitAllows(owner, primary->config_.id_, now)) {
        return std::nullopt;
    }
    return primary->config_.id_;
}

} // namespace Figward
