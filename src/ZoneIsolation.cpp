#include "ZoneIsolation.h"

#include <algorithm>
#include <set>

namespace Figward {

namespace {

/** Four heartbeats in a row were missed by all VMs of other zones, and as many probes by members. */
constexpr Duration lostAfter = std::chrono::milliseconds(1100);
/** VMs that were silent for longer are gone for other reasons and say nothing about a cut. */
constexpr Duration remembered = std::chrono::seconds(12);

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

} // namespace

bool shouldAskElsewhere(const SessionServiceState &sessions, Time now)
{
    return std::ranges::none_of(sessions.peers_, [&](const auto &entry) {
        const PeerVm &peer = entry.second;
        return peer.vm_.zone_ != sessions.identity_.vm_.zone_ && peer.heard_ && now - *peer.heard_ < lostAfter / 2;
    });
}

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

} // namespace Figward
