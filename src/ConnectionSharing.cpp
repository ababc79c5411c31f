#include "ConnectionSharing.h"

#include "ReadForwarding.h"

#include <vector>

namespace Figward {

namespace {

/** Time without a heartbeat after which a VM no longer counts among those that share connections. */
constexpr Duration sharingTimeout = std::chrono::seconds(4);
/** Interval at which persistent connections are reassigned. VMs and members change rarely, and an assignment costs a hash for each pair of them. */
constexpr Duration assignmentInterval = std::chrono::seconds(1);

bool sharesConnections(const SessionServiceState &sessions, const PeerVm &peer, Time now)
{
    if (sessions.onDemand_ && !peer.lastReceivedAt_) {
        return peer.registered_; // It may be heard only after minutes.
    }
    return peer.lastReceivedAt_ && now - *peer.lastReceivedAt_ < sharingTimeout + (peer.sendInterval_ - heartbeatInterval);
}

unsigned connectionLimit(const SessionServiceState &sessions, const ServiceId &service)
{
    const auto limits = sessions.configuration_->services_.find(service);
    return limits == sessions.configuration_->services_.end() ? 0 : limits->second.maxConnections_;
}

/** Whether this VM has no share of the connections to the group's members and uses temporary ones. */
bool usesTemporaryConnections(const SessionServiceState &sessions, const SessionGroup &group)
{
    const bool scarce = sessions.configuration_ && areConnectionsScarce(connectionLimit(sessions, group.id_), sessions.entryVms_);
    return scarce && sessions.identity_.policies_.usesTemporaryConnections_;
}

/** Replicas to which VMs may be assigned. The primary is excluded, so that its slots and connections are available for statements that only it may run. */
std::vector<MemberLocation> assignableReplicas(const SessionServiceState &sessions, const SessionGroup &group)
{
    std::vector<MemberLocation> candidates;
    for (const MemberId &id : group.members_) {
        const auto member = sessions.members_.find(id);
        if (member != sessions.members_.end() && !member->second.entry_.leaving_ && id != group.authority_.primary_) {
            candidates.push_back({id, member->second.entry_.zone_});
        }
    }
    return candidates;
}

std::vector<VmLocation> otherVms(const SessionServiceState &sessions, Time now)
{
    std::vector<VmLocation> others;
    for (const auto &[name, peer] : sessions.peers_) {
        if (sharesConnections(sessions, peer, now)) {
            others.push_back({peer.vm_.incarnation_, peer.vm_.zone_});
        }
    }
    return others;
}

} // namespace

unsigned countEntryVms(const SessionServiceState &sessions, Time now)
{
    unsigned count = 1;
    for (const auto &[name, peer] : sessions.peers_) {
        count += sharesConnections(sessions, peer, now) ? 1 : 0;
    }
    return count;
}

bool probesPrimary(const SessionServiceState &sessions, const SessionGroup &group)
{
    return group.leader_ || !usesTemporaryConnections(sessions, group);
}

ConnectionPlan planFor(const SessionServiceState &sessions, const MemberState &member, Time now)
{
    const auto group = sessions.groups_.find(member.entry_.service_);
    const bool known = group != sessions.groups_.end();
    ConnectionDemand demand;
    demand.limit_ = connectionLimit(sessions, member.entry_.service_);
    demand.vms_ = sessions.entryVms_;
    demand.persistent_ = known && group->second.persistentMembers_.contains(member.entry_.id_);
    demand.perSecond_ = usesPerSecond(member.use_, now);
    demand.allowsTemporary_ = sessions.identity_.policies_.usesTemporaryConnections_;
    demand.forwardsReads_ = forwardsReads(sessions, member.entry_.service_);
    demand.keepsReserve_ = sessions.identity_.policies_.keepsReserve_;
    return planConnections(demand);
}

void reviewPersistentMembers(const SessionServiceState &sessions, SessionGroup &group, Time now)
{
    if (now < group.persistentMembersReviewAt_) {
        return;
    }
    group.persistentMembersReviewAt_ = now + assignmentInterval;
    group.persistentMembers_.clear();
    if (sessions.onDemand_ || !usesTemporaryConnections(sessions, group)) {
        return; // A VM meets a group too seldom to keep a connection for it, or each VM has a share of each member's connections.
    }
    if (forwardsReads(sessions, group.id_)) {
        return; // A persistent connection would serve only one organisation.
    }
    const VmLocation self{sessions.identity_.vm_.incarnation_, sessions.identity_.vm_.zone_};
    const std::vector<VmLocation> others = otherVms(sessions, now);
    const unsigned limit = connectionLimit(sessions, group.id_);
    const std::vector<MemberLocation> replicas = assignableReplicas(sessions, group);
    const std::optional<MemberId> assigned = assignedMember(self, replicas);
    if (assigned && keepsPersistentConnection(self, *assigned, others, replicas, maxPersistentConnections(limit))) {
        group.persistentMembers_.insert(*assigned);
    }
    if (group.authority_.primary_ == MemberId()) {
        return; // The primary is revoked, and its replacement is not known yet.
    }
    const std::vector<MemberLocation> primary{{group.authority_.primary_, ZoneId()}};
    if (keepsPersistentConnection(self, group.authority_.primary_, others, primary, maxPersistentConnections(limit))) {
        group.persistentMembers_.insert(group.authority_.primary_);
    }
}

} // namespace Figward
