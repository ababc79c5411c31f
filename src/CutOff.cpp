#include "CutOff.h"

#include "ConnectionSharing.h"
#include "GroupInterest.h"
#include "MemberConnections.h"
#include "SessionHeartbeats.h"

#include <algorithm>
#include <set>
#include <vector>

namespace Figward {

namespace {

/** Silence after which a VM or member counts as lost: four consecutive heartbeats or probes were missed. */
constexpr Duration lossTimeout = std::chrono::milliseconds(1100);
/** Silence after which \p peer counts as lost; close peers may send at longer intervals where VMs are many. */
Duration lossTimeoutOf(const PeerVm &peer)
{
    return lossTimeout + (peer.close_ ? peer.sendInterval_ - heartbeatInterval : Duration(0));
}

/** VMs that have been silent for longer are assumed to be down for other reasons and do not indicate a split. */
constexpr Duration recentlyHeardTime = std::chrono::seconds(12);

/** A primary that is lost or leaving has usually been replaced within this time, and this VM uses its replacement. */
constexpr Duration replacementTime = std::chrono::milliseconds(1500);

/** Whether a member of another zone answered recently. If so the zone is not cut off, although the VMs elsewhere may be down. */
bool hearsMembersElsewhere(const SessionServiceState &sessions, Time now)
{
    return std::ranges::any_of(sessions.members_, [&](const auto &entry) {
        const MemberState &member = entry.second;
        return member.entry_.zone_ != sessions.identity_.vm_.zone_ && member.lastAnsweredAt_ && now - *member.lastAnsweredAt_ < lossTimeout;
    });
}

/** Whether the VM counts in a split: it was heard not long ago, or it is listed in the store and has never been heard. */
bool isCounted(const PeerVm &peer, Time now)
{
    return !peer.leaving_ && (peer.lastReceivedAt_ ? now - *peer.lastReceivedAt_ < recentlyHeardTime : peer.registered_);
}

/**
 * Whether this VM has for a while heard no VM and no member of the other zones, and the VMs there are the larger part of the fleet. The smaller part stops
 * serving, and the larger one replaces the primaries that it has lost. A VM that starts during a split counts the VMs listed in the store.
 */
bool isZoneIsolated(const SessionServiceState &sessions, Time now)
{
    std::set<ZoneId> otherZones;
    unsigned outside = 0;
    unsigned inside = 1;
    for (const auto &[name, peer] : sessions.peers_) {
        if (!isCounted(peer, now)) {
            continue;
        }
        if (peer.vm_.zone_ == sessions.identity_.vm_.zone_) {
            ++inside;
        } else if (peer.lastReceivedAt_ && now - *peer.lastReceivedAt_ < lossTimeoutOf(peer)) {
            return false;
        } else {
            ++outside;
            otherZones.insert(peer.vm_.zone_);
        }
    }
    // Of two zones of equal size neither can tell which one is cut off. One zone against several, of equal size in total, considers itself cut off.
    constexpr std::size_t several = 2;
    const bool isSmallerPart = outside > inside || (outside == inside && otherZones.size() >= several);
    return isSmallerPart && now - sessions.startedAt_ > lossTimeout && !hearsMembersElsewhere(sessions, now);
}

/** The groups over whose primaries this VM should have authority now. */
std::vector<const SessionGroup *> followedGroups(const SessionServiceState &sessions, Time now)
{
    std::vector<const SessionGroup *> followed;
    forEachReviewedGroup(sessions, [&](const SessionGroup &group) {
        if (isFollowed(sessions, group, now)) {
            followed.push_back(&group);
        }
    });
    return followed;
}

/**
 * Whether this VM has lost more than half of the VMs that it heard recently and can use no primary. Both conditions are required: if many VMs lose power at
 * once, the remaining ones must still serve; and a primary that no VM can use is replaced in about a second where most VMs hear each other.
 */
bool isLeftInMinority(const SessionServiceState &sessions, Time now)
{
    const std::vector<const SessionGroup *> groups = followedGroups(sessions, now);
    const auto reached = [&](const SessionGroup *group) { return reachesPrimary(sessions, *group, now); };
    const bool isIdle = sessions.onDemand_ && groups.empty();
    return !isIdle && !hearsAtLeastHalf(sessions, lossTimeout, now) && std::ranges::none_of(groups, reached);
}

/** Whether all groups that have members are served by other VMs but not by this one. */
bool areAllServedElsewhere(const SessionServiceState &sessions, Time now)
{
    const std::vector<const SessionGroup *> groups = followedGroups(sessions, now);
    const auto served = [&](const SessionGroup *group) { return group->members_.empty() || isPrimaryHeardElsewhere(*group, now); };
    const auto hasMembers = [](const SessionGroup *group) { return !group->members_.empty(); };
    return std::ranges::any_of(groups, hasMembers) && std::ranges::all_of(groups, served);
}

} // namespace

bool shouldProbeOtherZones(const SessionServiceState &sessions, Time now)
{
    if (now - sessions.startedAt_ < lossTimeout / 2) {
        return false; // Heartbeats will arrive shortly. If 77 VMs start together, their probes alone would take all connections of the members.
    }
    return std::ranges::none_of(sessions.peers_, [&](const auto &entry) {
        const PeerVm &peer = entry.second;
        return peer.vm_.zone_ != sessions.identity_.vm_.zone_ && peer.lastReceivedAt_ && now - *peer.lastReceivedAt_ < lossTimeout / 2;
    });
}

bool hearsAtLeastHalf(const SessionServiceState &sessions, Duration within, Time now)
{
    unsigned known = 1;
    unsigned heard = 1;
    for (const auto &[name, peer] : sessions.peers_) {
        const bool isClose = sessions.onDemand_ ? peer.close_ : peer.sendInterval_ == heartbeatInterval;
        if (peer.lastReceivedAt_ && isClose && now - *peer.lastReceivedAt_ < recentlyHeardTime && !peer.leaving_) {
            ++known;
            heard += now - *peer.lastReceivedAt_ < within + (peer.sendInterval_ - heartbeatInterval) ? 1 : 0;
        }
    }
    return heard * 2 >= known;
}

bool reachesPrimary(const SessionServiceState &sessions, const SessionGroup &group, Time now)
{
    const auto primary = sessions.members_.find(group.authority_.primary_);
    if (primary == sessions.members_.end() || !holdsAuthority(group.authority_, now)) {
        return false;
    }
    const MemberState &member = primary->second;
    if (!isUnavailable(member) && !probesPrimary(sessions, group)) {
        return true; // The primary was sent no request recently, or has answered all.
    }
    return (member.lastAnsweredAt_ && now - *member.lastAnsweredAt_ < lossTimeout) || (member.refusedAt_ && now - *member.refusedAt_ < lossTimeout);
}

bool isPrimaryHeardElsewhere(const SessionGroup &group, Time now)
{
    // A VM that has just been told of a new primary has not asked it yet, and does not know whether it reaches it.
    const bool isNew = group.primaryLostMember_ != group.authority_.primary_;
    if (isNew || !group.primaryLostAt_ || now - *group.primaryLostAt_ < replacementTime) {
        return false;
    }
    return group.primaryHeardEpoch_ >= group.authority_.epoch_ && now - group.primaryHeardAt_ < lossTimeout;
}

std::optional<CutOffReason> findCutOff(const SessionServiceState &sessions, Time now)
{
    if (isZoneIsolated(sessions, now)) {
        return CutOffReason::Zone;
    }
    if (isLeftInMinority(sessions, now)) {
        return CutOffReason::Minority;
    }
    return areAllServedElsewhere(sessions, now) ? std::optional(CutOffReason::Primaries) : std::nullopt;
}

std::string_view toString(CutOffReason reason)
{
    switch (reason) {
    case CutOffReason::Zone:
        return "the zone hears none of the others";
    case CutOffReason::Minority:
        return "less than half of the VMs and no primary are heard";
    case CutOffReason::Primaries:
        return "other VMs hear the primaries, this one does not";
    }
    return "unknown";
}

bool isZoneCutOff(const SessionServiceState &sessions)
{
    return sessions.cutOff_ && sessions.cutOff_->reason_ == CutOffReason::Zone;
}

} // namespace Figward
