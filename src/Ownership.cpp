#include "Ownership.h"

#include "OwnerDispatch.h"
#include "ProxyState.h"
#include "Rendezvous.h"

#include <algorithm>

namespace Figward {

namespace {

std::vector<MemberView> membersOf(const GroupConfig &config, const GroupView &known)
{
    std::vector<MemberView> members;
    for (const MemberConfig &member : config.members_) {
        const MemberView *old = findMember(known, member.id_);
        const bool sameDatabase = old != nullptr && old->config_.address_ == member.address_;
        members.push_back(sameDatabase ? *old : MemberView());
        members.back().config_ = member;
    }
    return members;
}

void acquireOwnership(ProxyState &state, const GroupConfig &config, Time now, Effects &out)
{
    GroupOwner &owner = state.owners_[config.id_];
    owner.config_ = config;
    owner.view_.members_ = membersOf(config, {});
    startProbing(state, owner, now, out);
    startFailover(state, owner, now, out);
    startOwnerRequests(state, owner, now, out);
    out.push_back(WriteLog{LogNumber::OwnershipBegan, {{"group", config.id_.value()}}});
}

/** Closes the idle connections to members that have left the group or are leaving it. Connections in use, such as by an open transaction, stay. */
void closeUnwantedIdleConnections(ProxyState &state, GroupOwner &owner, Effects &out)
{
    std::vector<ConnectionId> unwantedIdle;
    for (const auto &[id, connection] : owner.pool_.connections_) {
        const MemberView *member = findMember(owner.view_, connection.member_);
        const bool unwanted = member == nullptr || member->config_.leaving_;
        if (unwanted && connection.use_ == ConnectionUse::Idle) {
            unwantedIdle.push_back(id);
        }
    }
    for (const ConnectionId id : unwantedIdle) {
        closeConnection(state, owner, id, out);
    }
}

/** Applies a change of the group's configuration to the owner's state. */
void applyGroupConfig(ProxyState &state, GroupOwner &owner, const GroupConfig &config, Time now, Effects &out)
{
    if (owner.config_ == config) {
        return;
    }
    owner.config_ = config;
    owner.view_.members_ = membersOf(config, owner.view_);
    std::erase_if(owner.pool_.circuits_, [&](const auto &entry) { return findMember(owner.view_, entry.first) == nullptr; });
    closeUnwantedIdleConnections(state, owner, out);
    onGroupViewChanged(state, owner, now, out);
    reviewPrimary(state, owner, now, out);
}

/** Begins to give up the ownership of a group: \p owner finishes its requests and accepts no new ones. */
void beginReleasing(ProxyState &state, GroupOwner &owner, Time now, Effects &out)
{
    if (owner.leaving_) {
        return;
    }
    owner.leaving_ = true;
    resetQuota(state, owner, 1, now, out);
    requestDispatch(state, owner);
    out.push_back(WriteLog{LogNumber::OwnershipEnds, {{"group", owner.config_.id_.value()}}});
}

void refreshGroup(ProxyState &state, const GroupConfig &config, Time now, Effects &out)
{
    const std::vector<VmInfo> &owners = state.membership_.owners_[config.id_];
    const auto self = std::ranges::find(owners, state.identity_.self_.id_, &VmInfo::id_);
    GroupOwner *owner = findOwner(state, config.id_);
    if (owner != nullptr) {
        applyGroupConfig(state, *owner, config, now, out);
    }
    if (self == owners.end()) {
        if (owner != nullptr) {
            beginReleasing(state, *owner, now, out);
        }
        return;
    }
    const auto rank = static_cast<unsigned>(self - owners.begin());
    if (owner == nullptr) {
        state.owners_[config.id_].rank_ = rank;
        acquireOwnership(state, config, now, out);
        owner = findOwner(state, config.id_);
    }
    owner->leaving_ = false;
    owner->rank_ = rank;
    resetQuota(state, *owner, static_cast<unsigned>(owners.size()), now, out);
    requestDispatch(state, *owner);
}

} // namespace

void refreshOwnership(ProxyState &state, Time now, Effects &out)
{
    auto &known = state.membership_.owners_;
    std::erase_if(known, [&](const auto &entry) { return !state.configuration_.groups_.contains(entry.first); });
    for (const auto &[id, config] : state.configuration_.groups_) {
        if (!known.contains(id)) {
            known[id] = rendezvousOwners(id, state.membership_.vms_, state.configuration_.policy_.ownersPerGroup_);
        }
        refreshGroup(state, config, now, out);
    }
    for (auto &[id, owner] : state.owners_) {
        if (!state.configuration_.groups_.contains(id)) {
            beginReleasing(state, owner, now, out);
        }
    }
}

} // namespace Figward
