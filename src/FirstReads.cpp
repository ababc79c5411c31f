#include "FirstReads.h"

#include "ProxyState.h"
#include "StoreReads.h"

#include <vector>

namespace Figward {

namespace {

/** Maximum time for which the first reads wait for the list of VMs. */
constexpr Duration vmListTimeout = std::chrono::milliseconds(1000);
/** Expected number of VMs that read from the store in one round of attempts, whatever the size of the fleet. */
constexpr std::uint64_t readersAtStore = 8;

/** Addresses of the VMs in this VM's zone, or of all VMs if there are none. Transfers within a zone do not load the links between zones. */
std::vector<const std::string *> nearAddresses(const SessionServiceState &sessions)
{
    std::vector<const std::string *> near;
    std::vector<const std::string *> all;
    for (const auto &[name, peer] : sessions.peers_) {
        if (peer.vm_.address_.empty() || peer.leaving_) {
            continue;
        }
        all.push_back(&peer.vm_.address_);
        if (peer.vm_.zone_ == sessions.identity_.vm_.zone_) {
            near.push_back(&peer.vm_.address_);
        }
    }
    return near.empty() ? all : near;
}

} // namespace

bool awaitsVmList(const SessionServiceState &sessions, Time now)
{
    const StoreSchedule &schedule = sessions.schedule_;
    return !schedule.vmsListed_ && schedule.reachable_ && now - sessions.startedAt_ < vmListTimeout;
}

std::string chooseFirstSource(ProxyState &state, Time now)
{
    const SessionServiceState &sessions = *state.sessions_;
    if (!sessions.schedule_.reachable_) {
        return chooseReadPeer(state, now);
    }
    const std::vector<const std::string *> near = nearAddresses(sessions);
    const std::uint64_t vms = sessions.peers_.size() + 1;
    if (near.empty() || state.random_() % vms < readersAtStore) {
        return {};
    }
    return *near[state.random_() % near.size()];
}

} // namespace Figward
