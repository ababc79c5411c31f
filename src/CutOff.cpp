#include "CutOff.h"

#include "ConnectionSharing.h"
#include "MemberConnections.h"
#include "SessionHeartbeats.h"

#include <algorithm>
#include <set>

namespace Figward {

namespace {

/** Four heartbeats in a row were missed by all VMs of other zones, and as many probes by members. */
constexpr Duration lostAfter = std::chrono::milliseconds(1100);
/** VMs that were silent for longer are gone for other reasons and say nothing about a cut. */
constexpr Duration remembered = std::chrono::seconds(12);

/** A primary that is lost, or that leaves, has been replaced by then as a rule, and this VM uses its successor. */
constexpr Duration replacedBy = std::chrono::milliseconds(1500);

/** Whether a member of another zone answered lately: then the zone is not cut off, though VMs elsewhere may be down. */
bool hearsMembersElsewhere(const SessionServiceState &sessions, Time now)
{
    return std::ranges::any_of(sessions.members_, [&](const auto &entry) {
        const MemberState &member = entry.second;
        return member.entry_.zone_ != sessions.identity_.vm_.zone_ && member.heard_ && now - *member.heard_ < lostAfter;
    });
}

/** Whether the VM was there a while ago, or the store lists it and it was never heard. */
bool isCounted(const PeerVm &peer, Time now)
{
    return !peer.leaving_ && (peer.heard_ ? now - *peer.heard_ < remembered : peer.registered_);
}

/**
 * Whether this VM has lost all VMs and all members of other zones for a while, and those VMs are the larger part of all. The smaller part gives way: the larger
 * one replaces the primaries that it has lost. A VM that starts during a cut counts the VMs that the store lists.
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
        } else if (peer.heard_ && now - *peer.heard_ < lostAfter) {
            return false;
        } else {
            ++outside;
            otherZones.insert(peer.vm_.zone_);
        }
    }
    // Of two zones of equal size neither can tell that it is the one that is cut off; one against several gives way.
    constexpr std::size_t several = 2;
    const bool givesWay = outside > inside || (outside == inside && otherZones.size() >= several);
    return givesWay && now - sessions.startedAt_ > lostAfter && !hearsMembersElsewhere(sessions, now);
}

/**
 * Whether this VM has lost more than half of the VMs that it heard lately and can use no primary. Both together: many VMs may lose power at once, and what is
 * left of them still serves; and a primary that nobody can use is replaced in about a second, where most VMs hear each other.
 */
bool isLeftInMinority(const SessionServiceState &sessions, Time now)
{
    const auto reached = [&](const auto &entry) { return reachesPrimary(sessions, entry.second, now); };
    return !hearsMost(sessions, lostAfter, now) && std::ranges::none_of(sessions.groups_, reached);
}

/** Whether all groups are served elsewhere only. */
bool areAllServedElsewhere(const SessionServiceState &sessions, Time now)
{
    const auto served = [&](const auto &entry) { return entry.second.members_.empty() || isServedElsewhere(sessions, entry.second, now); };
    const auto hasMembers = [](const auto &entry) { return !entry.second.members_.empty(); };
    return std::ranges::any_of(sessions.groups_, hasMembers) && std::ranges::all_of(sessions.groups_, served);
}

} // namespace

bool shouldAskElsewhere(const SessionServiceState &sessions, Time now)
{
    if (now - sessions.startedAt_ < lostAfter / 2) {
        return false; // Others are heard in a moment: at 77 VMs that start together, their questions alone would take all connections.
    }
    return std::ranges::none_of(sessions.peers_, [&](const auto &entry) {
        const PeerVm &peer = entry.second;
        return peer.vm_.zone_ != sessions.identity_.vm_.zone_ && peer.heard_ && now - *peer.heard_ < lostAfter / 2;
    });
}

bool hearsMost(const SessionServiceState &sessions, Duration within, Time now)
{
    unsigned known = 1;
    unsigned heard = 1;
    for (const auto &[name, peer] : sessions.peers_) {
        const bool speaksOften = peer.itsInterval_ == heartbeatInterval;
        if (peer.heard_ && speaksOften && now - *peer.heard_ < remembered && !peer.leaving_) {
            ++known;
            heard += now - *peer.heard_ < within ? 1 : 0;
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
    if (!isInDoubt(member) && !asksPrimary(sessions, group)) {
        return true; // Nothing was asked of it lately, or all was answered.
    }
    return (member.heard_ && now - *member.heard_ < lostAfter) || (member.refusedAt_ && now - *member.refusedAt_ < lostAfter);
}

bool isServedElsewhere(const SessionServiceState &sessions, const SessionGroup &group, Time now)
{
    if (!group.primaryLostAt_ || now - *group.primaryLostAt_ < replacedBy) {
        return false;
    }
    return std::ranges::any_of(sessions.peers_, [&](const auto &entry) {
        const PeerVm &peer = entry.second;
        const auto beat = peer.groups_.find(group.id_);
        const bool speaks = isFresh(peer, now) && beat != peer.groups_.end() && beat->second.epoch_ >= group.authority_.epoch_;
        return speaks && beat->second.primaryHeard_ && *beat->second.primaryHeard_ + (now - peer.itsClockAt_) < lostAfter;
    });
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
