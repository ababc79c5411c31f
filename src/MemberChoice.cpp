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

bool isFreshEnough(const GroupOwner &owner, const MemberView &member, const ReadRequirements &requirements, Time now)
{
    if (requirements.after_ && !contains(*member.status_, *requirements.after_)) {
        return false;
    }
    if (!requirements.maxStaleness_) {
        return true;
    }
    const std::optional<Duration> age = replicaAge(owner.ages_, member, now);
    return age && *age <= *requirements.maxStaleness_;
}

/**
 * Whether a majority confirmed the primary recently enough for the read. A primary that has been cut off and replaced still answers; without this check its
 * data would be treated as fresh for any requested staleness.
 */
bool isConfirmed(const GroupOwner &owner, const ReadRequirements &requirements, Time now)
{
    const MemberView *primary = primaryOf(owner.view_);
    if (!requirements.maxStaleness_) {
        return true;
    }
    const std::optional<Duration> age = primary == nullptr ? std::nullopt : replicaAge(owner.ages_, *primary, now);
    return age && *age <= *requirements.maxStaleness_;
}

bool canServe(const GroupOwner &owner, const MemberView &member, const ReadRequirements &requirements, Time now)
{
    const bool usable = member.status_ && !member.config_.leaving_ && member.missedProbes_ < missedProbesToAvoid;
    return usable && owner.view_.primary_ != member.config_.id_ && circuitAllows(owner, member.config_.id_, now)
           && isFreshEnough(owner, member, requirements, now);
}

/** Sort key of a replica, lowest first: members in the same zone, then those with the fewest connections that are not idle. */
std::pair<bool, std::size_t> costOf(const GroupOwner &owner, const MemberView &member, const ZoneId &zone)
{
    const auto busyHere = [&](const auto &entry) { return entry.second.member_ == member.config_.id_ && entry.second.use_ != ConnectionUse::Idle; };
    const auto busy = std::ranges::count_if(owner.pool_.connections_, busyHere);
    return {member.config_.zone_ != zone, static_cast<std::size_t>(busy)};
}

const MemberView *bestReplica(const GroupOwner &owner, const ReadRequirements &requirements, const ZoneId &zone, Time now)
{
    const MemberView *best = nullptr;
    for (const MemberView &member : owner.view_.members_) {
        if (!canServe(owner, member, requirements, now)) {
            continue;
        }
        if (best == nullptr || costOf(owner, member, zone) < costOf(owner, *best, zone)) {
            best = &member;
        }
    }
    return best;
}

} // namespace

ReadRequirements readRequirementsOf(const Request &request, const GroupId &group)
{
    ReadRequirements requirements;
    const auto point = request.token_.points_.find(group);
    if (point != request.token_.points_.end()) {
        requirements.after_ = point->second;
    }
    requirements.maxStaleness_ = request.maxStaleness_;
    return requirements;
}

MemberChoice chooseForRead(const GroupOwner &owner, const ReadRequirements &requirements, const ZoneId &zone, Time now, bool mayWait)
{
    const bool replicaAllowed = requirements.after_ || requirements.maxStaleness_;
    if (replicaAllowed) {
        if (const MemberView *replica = bestReplica(owner, requirements, zone, now)) {
            return {ReadStep::UseReplica, replica->config_.id_};
        }
        if (mayWait) {
            return {ReadStep::Wait, {}};
        }
    }
    const std::optional<MemberId> primary = usablePrimary(owner, now);
    // A token of a later term than the known one shows that this primary has been replaced and may lack the session's own writes.
    const bool replaced = requirements.after_ && requirements.after_->term_ > owner.view_.term_;
    if (!primary || replaced || !isConfirmed(owner, requirements, now)) {
        return {ReadStep::Unserved, {}};
    }
    return {ReadStep::UsePrimary, *primary};
}

std::optional<MemberId> usablePrimary(const GroupOwner &owner, Time now)
{
    const MemberView *primary = primaryOf(owner.view_);
    // A primary below the highest fence has been or will be replaced; its answers could not be acknowledged.
    const bool usable = primary != nullptr && !primary->config_.leaving_ && highestFence(owner.view_) <= owner.view_.term_;
    if (!usable || !circuitAllows(owner, primary->config_.id_, now)) {
        return std::nullopt;
    }
    return primary->config_.id_;
}

} // namespace Figward
