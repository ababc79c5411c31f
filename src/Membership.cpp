#include "Membership.h"

#include "OwnerDispatch.h"
#include "ProxyState.h"
#include "Rendezvous.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr Duration listInterval = std::chrono::seconds(2);
constexpr Duration listTimeout = std::chrono::seconds(1);

void beginOwning(ProxyState &state, const GroupConfig &config, Time now, Effects &out)
{
    GroupOwner &owner = state.owners_[config.id_];
    owner.config_ = config;
    owner.view_.members_.clear();
    for (const MemberConfig &member : config.members_) {
        owner.view_.members_.push_back({.config_ = member});
    }
    startProbing(state, owner, now, out);
    startFailover(state, owner, now, out);
    startOwnerRequests(state, owner, now, out);
}

} // namespace

void startMembership(ProxyState &state, Time now, Effects &out)
{
    callPlatform(state, PlatformUser::Membership, ListVms{}, listTimeout, out);
    state.timers_.arm(now + listInterval, {TimerTopic::Membership, {}, 0});
}

void onMembershipTimer(ProxyState &state, const TimerTag & /*tag*/, Time now, Effects &out)
{
    startMembership(state, now, out);
}

void onVmListAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out)
{
    if (answer.status_ != PlatformStatus::Ok) {
        return;
    }
    state.membership_.vms_ = answer.vms_;
    refreshOwnership(state, now, out);
}

void onHeartbeat(ProxyState & /*state*/, const PeerMessage & /*message*/, const Heartbeat & /*heartbeat*/, Time /*now*/, Effects & /*out*/)
{
}

void onVmListNews(ProxyState & /*state*/, const PeerMessage & /*message*/, const VmListNews & /*news*/, Time /*now*/, Effects & /*out*/)
{
}

std::vector<VmInfo> ownersOf(const ProxyState &state, const GroupId &group)
{
    return rendezvousOwners(group, state.membership_.vms_, state.configuration_.policy_.ownersPerGroup_);
}

void refreshOwnership(ProxyState &state, Time now, Effects &out)
{
    for (const auto &[id, config] : state.configuration_.groups_) {
        const std::vector<VmInfo> owners = ownersOf(state, id);
        const auto self = std::ranges::find(owners, state.identity_.self_.id_, &VmInfo::id_);
        GroupOwner *owner = findOwner(state, id);
        if (self == owners.end()) {
            if (owner != nullptr) {
                owner->leaving_ = true;
            }
            continue;
        }
        if (owner == nullptr) {
            beginOwning(state, config, now, out);
            owner = findOwner(state, id);
        }
        owner->leaving_ = false;
        owner->rank_ = static_cast<unsigned>(self - owners.begin());
        resetQuota(*owner, static_cast<unsigned>(owners.size()));
        wantDispatch(state, *owner);
    }
}

void sendPeer(ProxyState &state, const VmInfo &to, PeerBody body, Effects &out)
{
    const VmInfo &self = state.identity_.self_;
    PeerMessage message{self.id_, to.id_, self.address_, state.configuration_.version_, std::move(body)};
    if (to.id_ == self.id_) {
        state.local_.push_back(std::move(message));
        return;
    }
    out.push_back(SendPeer{to.address_, std::move(message)});
}

const VmInfo *findVm(const ProxyState &state, VmId id)
{
    const auto found = std::ranges::find(state.membership_.vms_, id, &VmInfo::id_);
    return found == state.membership_.vms_.end() ? nullptr : &*found;
}

} // namespace Figward
