#include "ZoneIsolation.h"

namespace Figward {

namespace {

/** Four heartbeats in a row were missed by all VMs of other zones. */
constexpr Duration lostAfter = std::chrono::milliseconds(1100);
/** VMs that were silent for longer are gone for other reasons and say nothing about a cut. */
constexpr Duration remembered = std::chrono::seconds(12);

} // namespace

bool isZoneIsolated(const SessionServiceState &sessions, Time now)
{
    std::set<ZoneId> otherZones;
    unsigned outside = 0;
    unsigned inside = 1;
    for (const auto &[name, peer] : sessions.peers_) {
        if (!peer.heard_ || now - *peer.heard_ > remembered || peer.leaving_) {
            continue;
        }
        if (peer.vm_.zone_ == sessions.identity_.vm_.zone_) {
            ++inside;
        } else if (now - *peer.heard_ < lostAfter) {
            return false;
        } else {
            ++outside;
            otherZones.insert(peer.vm_.zone_);
        }
    }
    // Of two zones of equal size neither can tell that it is the one that is cut off; one against several gives way.
    constexpr std::size_t several = 2;
    return outside > inside || (outside == inside && otherZones.size() >= several);
}

} // namespace Figward
