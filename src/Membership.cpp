#include "Membership.h"

#include "Gossip.h"
#include "Ownership.h"
#include "ProxyState.h"
#include "Rendezvous.h"

#include <algorithm>
#include <iterator>

namespace Figward {

namespace {

constexpr std::uint64_t pollKey = 0;
constexpr std::uint64_t heartbeatKey = 1;
constexpr std::uint64_t seedKey = 2;
constexpr Duration listTimeout = std::chrono::seconds(1);
constexpr Duration seedInterval = std::chrono::seconds(1);
constexpr Duration listLag = std::chrono::seconds(10); // Maximum delay of the platform's list relative to reports from peers.
constexpr Duration tombstoneLife = std::chrono::minutes(10); // Longer than any message can be in flight.
constexpr std::size_t smallListDivisor = 2; // A list that contains less than half of the known VMs must be confirmed.

const VmInfo *findIn(const std::vector<VmInfo> &vms, VmId id)
{
    const auto found = std::ranges::lower_bound(vms, id, {}, &VmInfo::id_);
    return found == vms.end() || found->id_ != id ? nullptr : &*found;
}

void poll(ProxyState &state, Time now, Effects &out)
{
    callPlatform(state, PlatformRequester::Membership, ListVms{}, listTimeout, out);
    const FleetTuning &tuning = state.membership_.tuning_;
    const Duration interval = std::max(tuning.minPollInterval_, tuning.pollIntervalPerVm_ * static_cast<std::int64_t>(state.membership_.vms_.size()));
    state.timers_.arm(now + jittered(state, interval), {TimerTopic::Membership, {}, pollKey});
}

void heartbeat(ProxyState &state, Time now, Effects &out)
{
    const FleetTuning &tuning = state.membership_.tuning_;
    for (const VmInfo &target : gossipTargets(state, tuning.heartbeatFanOut_)) {
        sendPeer(state, target, makeHeartbeat(state), out);
    }
    state.timers_.arm(now + jittered(state, tuning.heartbeatInterval_), {TimerTopic::Membership, {}, heartbeatKey});
}

/** Requests the list of VMs and the configuration from the seeds until both are known: the platform may be unavailable when a VM starts. */
void querySeeds(ProxyState &state, Time now, Effects &out)
{
    const bool known = state.membership_.vms_.size() > 1 && state.configuration_.version_ != ConfigVersion();
    if (known || state.drain_.draining_) {
        return;
    }
    const VmInfo &self = state.identity_.self_;
    for (const std::string &seed : state.identity_.seeds_) {
        if (seed != self.address_) {
            const Heartbeat request{.sender_ = self, .wantsVms_ = true};
            out.push_back(SendPeer{seed, {self.id_, VmId(), self.address_, state.configuration_.version_, request}});
        }
    }
    state.timers_.arm(now + jittered(state, seedInterval), {TimerTopic::Membership, {}, seedKey});
}

/** Returns the changes from \p before to \p after, both ordered by id. */
VmListNews differenceOf(const std::vector<VmInfo> &before, const std::vector<VmInfo> &after)
{
    VmListNews update;
    for (const VmInfo &vm : after) {
        const VmInfo *old = findIn(before, vm.id_);
        if (old == nullptr || *old != vm) {
            update.vms_.push_back(vm);
        }
    }
    for (const VmInfo &vm : before) {
        if (findIn(after, vm.id_) == nullptr) {
            update.gone_.push_back(vm.id_);
        }
    }
    return update;
}

/** Makes \p vms the current list, passes its changes on to peers, and updates the ownership of groups. */
void applyList(ProxyState &state, std::vector<VmInfo> vms, Time now, Effects &out)
{
    std::ranges::sort(vms, {}, &VmInfo::id_);
    const auto sameId = [](const VmInfo &a, const VmInfo &b) { return a.id_ == b.id_; };
    vms.erase(std::unique(vms.begin(), vms.end(), sameId), vms.end());
    const VmListNews update = differenceOf(state.membership_.vms_, vms);
    if (update.vms_.empty() && update.gone_.empty()) {
        return;
    }
    for (const VmId id : update.gone_) {
        state.membership_.tombstones_[id] = now;
        state.membership_.unlisted_.erase(id);
    }
    state.membership_.vms_ = std::move(vms);
    state.membership_.owners_.clear();
    out.push_back(WriteLog{LogNumber::VmListChanged,
                           {{"vms", std::to_string(state.membership_.vms_.size())},
                            {"changed", std::to_string(update.vms_.size())},
                            {"gone", std::to_string(update.gone_.size())}}});
    refreshOwnership(state, now, out);
    gossipUpdate(state, update, out);
}

/** Whether the platform's list contains so few of the known VMs that the next list must confirm it. */
bool needsConfirmation(MembershipState &membership, std::size_t listed)
{
    const bool small = listed * smallListDivisor < membership.vms_.size();
    const bool confirmed = small && membership.smallListSeen_;
    membership.smallListSeen_ = small;
    return small && !confirmed;
}

bool hasTombstone(const MembershipState &membership, VmId id)
{
    return membership.tombstones_.contains(id);
}

/** Whether the VM was removed so recently that the platform's list may still contain it. */
bool wasRemovedRecently(const MembershipState &membership, VmId id, Time now)
{
    const auto removed = membership.tombstones_.find(id);
    return removed != membership.tombstones_.end() && now - removed->second < listLag;
}

/** Adds the VMs that peers reported recently and the platform's list does not contain yet. */
void addUnlisted(const MembershipState &membership, std::vector<VmInfo> &vms, Time now)
{
    for (const auto &[id, reportedAt] : membership.unlisted_) {
        const VmInfo *known = findIn(membership.vms_, id);
        const bool listed = std::ranges::find(vms, id, &VmInfo::id_) != vms.end();
        if (known != nullptr && !listed && now - reportedAt < listLag) {
            vms.push_back(*known);
        }
    }
}

void removeExpired(ProxyState &state, Time now)
{
    MembershipState &membership = state.membership_;
    std::erase_if(membership.tombstones_, [&](const auto &entry) {
        const bool expired = now - entry.second > tombstoneLife;
        if (expired) {
            state.forwardWindows_.erase(entry.first);
        }
        return expired;
    });
    std::erase_if(membership.unlisted_, [&](const auto &entry) { return now - entry.second > listLag; });
}

bool applyReport(ProxyState &state, std::vector<VmInfo> &vms, const VmInfo &vm, Time now)
{
    const bool own = vm.id_ == state.identity_.self_.id_;
    if (own || vm.id_ == VmId() || hasTombstone(state.membership_, vm.id_)) {
        return false;
    }
    const auto known = std::ranges::find(vms, vm.id_, &VmInfo::id_);
    if (known == vms.end()) {
        vms.push_back(vm);
        state.membership_.unlisted_[vm.id_] = now;
        return true;
    }
    // An incarnation that is leaving never returns to service, so a delayed update cannot clear the flag.
    const bool leaves = vm.leaving_ && !known->leaving_;
    known->leaving_ = known->leaving_ || vm.leaving_;
    return leaves;
}

void applyUpdate(ProxyState &state, const VmListNews &update, Time now, Effects &out)
{
    std::vector<VmInfo> vms = state.membership_.vms_;
    bool changed = false;
    for (const VmInfo &vm : update.vms_) {
        changed = applyReport(state, vms, vm, now) || changed;
    }
    for (const VmId id : update.gone_) {
        const bool own = id == state.identity_.self_.id_;
        changed = (!own && std::erase_if(vms, [&](const VmInfo &vm) { return vm.id_ == id; }) > 0) || changed;
    }
    if (changed) {
        applyList(state, std::move(vms), now, out);
    }
}

} // namespace

void startMembership(ProxyState &state, Time now, Effects &out)
{
    poll(state, now, out);
    querySeeds(state, now, out);
    state.timers_.arm(now + jittered(state, state.membership_.tuning_.heartbeatInterval_), {TimerTopic::Membership, {}, heartbeatKey});
}

void onMembershipTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out)
{
    switch (tag.key_) {
    case heartbeatKey:
        heartbeat(state, now, out);
        return;
    case seedKey:
        querySeeds(state, now, out);
        return;
    default:
        poll(state, now, out);
        return;
    }
}

void onVmListAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out)
{
    MembershipState &membership = state.membership_;
    const bool recovered = membership.platformUnavailable_ && answer.status_ == PlatformStatus::Ok;
    membership.platformUnavailable_ = answer.status_ != PlatformStatus::Ok;
    if (recovered) {
        // A watch requested during the outage may never have reached the platform. It would hide every change until its timeout, so a new one is requested.
        state.sync_.watching_ = false;
    }
    // An empty list must be wrong, since this proxy is running; applying it would make this proxy the owner of every group.
    if (answer.status_ != PlatformStatus::Ok || answer.vms_.empty() || needsConfirmation(membership, answer.vms_.size())) {
        return;
    }
    removeExpired(state, now);
    std::vector<VmInfo> vms;
    for (VmInfo vm : answer.vms_) {
        const bool own = vm.id_ == state.identity_.self_.id_;
        if (own) {
            // The platform is about to remove this VM. The other VMs see the same flag and no longer count it among the owners.
            state.identity_.self_.leaving_ = state.identity_.self_.leaving_ || vm.leaving_;
        }
        if (own || wasRemovedRecently(membership, vm.id_, now)) {
            continue;
        }
        const VmInfo *known = findIn(membership.vms_, vm.id_);
        vm.leaving_ = vm.leaving_ || (known != nullptr && known->leaving_);
        membership.tombstones_.erase(vm.id_);
        vms.push_back(std::move(vm));
    }
    addUnlisted(membership, vms, now);
    vms.push_back(state.identity_.self_);
    applyList(state, std::move(vms), now, out);
}

void onHeartbeat(ProxyState &state, const PeerMessage &message, const Heartbeat &heartbeat, Time now, Effects &out)
{
    applyUpdate(state, {.vms_ = {heartbeat.sender_}}, now, out);
    if (heartbeat.wantsVms_) {
        sendPeer(state, heartbeat.sender_, VmListNews{.vms_ = state.membership_.vms_}, out);
    } else if (message.configVersion_ < state.configuration_.version_) {
        // The sender has an older configuration and learns of the newer version from this answer. Having the lower version, it does not answer in turn.
        sendPeer(state, heartbeat.sender_, makeHeartbeat(state), out);
    }
}

void onVmListNews(ProxyState &state, const PeerMessage & /*message*/, const VmListNews &news, Time now, Effects &out)
{
    applyUpdate(state, news, now, out);
}

void announceLeaving(ProxyState &state, Time now, Effects &out)
{
    VmInfo &self = state.identity_.self_;
    self.leaving_ = true;
    std::vector<VmInfo> vms = state.membership_.vms_;
    std::erase_if(vms, [&](const VmInfo &vm) { return vm.id_ == self.id_; });
    vms.push_back(self);
    applyList(state, std::move(vms), now, out);
}

std::vector<VmInfo> ownersOf(const ProxyState &state, const GroupId &group)
{
    const auto known = state.membership_.owners_.find(group);
    if (known != state.membership_.owners_.end()) {
        return known->second;
    }
    return rendezvousOwners(group, state.membership_.vms_, state.configuration_.policy_.ownersPerGroup_);
}

void sendPeer(ProxyState &state, const VmInfo &to, PeerBody body, Effects &out)
{
    const VmInfo &self = state.identity_.self_;
    PeerMessage message{self.id_, to.id_, self.address_, state.configuration_.version_, std::move(body)};
    if (to.id_ == self.id_) {
        state.localMessages_.push_back(std::move(message));
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
