#include "ConnectionSharing.h"

#include <vector>

namespace Figward {

namespace {

/** Time without a heartbeat after which a VM no longer counts among those that share connections. */
constexpr Duration sharingTimeout = std::chrono::seconds(4);
/** Interval at which persistent connections are reassigned. VMs and members change rarely, and an assignment costs a hash for each pair of them. */
constexpr Duration assignmentInterval = std::chrono::seconds(1);

bool sharesConnections(const PeerVm &peer, Time now)
{
    return peer.heard_ && now - *peer.heard_ < sharingTimeout + (peer.itsInterval_ - heartbeatInterval);
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
    return scarce && sessions.identity_.policies_.visits_;
}

/** Replicas to which VMs may be assigned. The primary is excluded, so that its slots and connections are available for statements that only it may run. */
std::vector<HomeCandidate> assignableReplicas(const SessionServiceState &sessions, const SessionGroup &group)
{
    std::vector<HomeCandidate> candidates;
    for (const MemberId &id : group.members_) {
        const auto member = sessions.members_.find(id);
        if (member != sessions.members_.end() && !member->second.entry_.leaving_ && id != group.authority_.primary_) {
            candidates.push_back({id, member->second.entry_.zone_});
        }
    }
    return candidates;
}

std::vector<HomeSeeker> otherVms(const SessionServiceState &sessions, Time now)
{
    std::vector<HomeSeeker> others;
    for (const auto &[name, peer] : sessions.peers_) {
        if (sharesConnections(peer, now)) {
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
        count += sharesConnections(peer, now) ? 1 : 0;
    }
    return count;
}

bool asksPrimary(const SessionServiceState &sessions, const SessionGroup &group)
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
    demand.resident_ = known && group->second.residences_.contains(member.entry_.id_);
    demand.perSecond_ = usesPerSecond(member.use_, now);
    demand.mayVisit_ = sessions.identity_.policies_.visits_;
    demand.leavesRoom_ = sessions.identity_.policies_.leavesRoom_;
    return planConnections(demand);
}

void reviewResidences(const SessionServiceState &sessions, SessionGroup &group, Time now)
{
    if (now < group.residenceReviewAt_) {
        return;
    }
    group.residenceReviewAt_ = now + assignmentInterval;
    group.residences_.clear();
    if (!usesTemporaryConnections(sessions, group)) {
        return; // Each VM has a share of each member's connections.
    }
    const HomeSeeker self{sessions.identity_.vm_.incarnation_, sessions.identity_.vm_.zone_};
    const std::vector<HomeSeeker> others = otherVms(sessions, now);
    const unsigned limit = connectionLimit(sessions, group.id_);
    const std::vector<HomeCandidate> replicas = assignableReplicas(sessions, group);
    const std::optional<MemberId> assigned = homeOf(self, replicas);
    if (assigned && isResident(self, *assigned, others, replicas, mostResidents(limit))) {
        group.residences_.insert(*assigned);
    }
    if (group.authority_.primary_ == MemberId()) {
        return; // The primary is revoked, and its replacement is not known yet.
    }
    const std::vector<HomeCandidate> primary{{group.authority_.primary_, ZoneId()}};
    if (isResident(self, group.authority_.primary_, others, primary, mostResidents(limit))) {
        group.residences_.insert(group.authority_.primary_);
    }
}

} // namespace Figward
