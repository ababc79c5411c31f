#include "ConnectionPlan.h"

#include "Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Figward {

namespace {

/**
 * Minimum share of a VM; if it would be smaller, connections are scarce. Two connections are for statements, because a transaction, which is idle between its
 * statements, would take up a single one. One is for reports of the primary: with shares of just two, connections of VMs are refused.
 */
constexpr unsigned minShare = 3;
/** Maximum number of connections of a VM to one member when connections are scarce: statements beyond the slots of a member would only wait there. */
constexpr unsigned maxTemporary = 4;
/**
 * Idle time after which connections above ordinary load are closed. With a longer time a VM always holds its whole share, and members have no connections left
 * for VMs that restart after a loss of power.
 */
constexpr Duration reserveIdleTimeout = std::chrono::seconds(1);
/** Fraction of a member's connections that may be idle temporary ones: the others are for running statements and transactions. */
constexpr double maxIdleFraction = 0.25;
/**
 * Maximum idle time of a temporary connection, however rarely this VM uses the member. With a longer one, VMs that restart after a loss of power cannot
 * connect.
 */
constexpr Duration maxIdleTimeout = std::chrono::milliseconds(1000);
/** Fraction of a member's connections that may be idle where reads are forwarded: the others are for running statements, transactions and openings. */
constexpr double maxHolderIdleFraction = 0.5;
/** Maximum idle time of a connection there, however rarely this VM uses the member. */
constexpr Duration maxHolderIdleTimeout = std::chrono::milliseconds(2000);
/** Maximum probability, however few VMs there are, with which a statement should find an idle temporary connection. */
constexpr double maxReuse = 0.95;
/** Minimum use rate assumed for the idle time: the rate of a VM is unknown until it has used the member a few times, and all VMs may start at once. */
constexpr double minPerSecond = 1;
std::uint64_t assignmentWeight(const MemberId &member, VmId vm)
{
    return rendezvousWeight(GroupId(member.value()), vm);
}

} // namespace

bool areConnectionsScarce(unsigned limit, unsigned vms)
{
    return limit < minShare * std::max(1U, vms);
}

ConnectionPlan planConnections(const ConnectionDemand &demand)
{
    if (demand.allowsTemporary_ && areConnectionsScarce(demand.limit_, demand.vms_)) {
        if (demand.forwardsReads_) {
            return {0, std::min(maxTemporary, std::max(1U, demand.limit_)), holderIdleTimeout(demand.limit_, demand.vms_, demand.perSecond_), true};
        }
        return {demand.persistent_ ? 1U : 0U,
                std::min(maxTemporary, std::max(1U, demand.limit_)),
                temporaryIdleTimeout(demand.limit_, demand.vms_, demand.perSecond_),
                true};
    }
    const unsigned share = std::max(1U, demand.limit_ / std::max(1U, demand.vms_));
    const unsigned maxIdle = demand.keepsReserve_ ? std::max(1U, share / 2) : share;
    return {maxIdle, share, reserveIdleTimeout};
}

Duration temporaryIdleTimeout(unsigned limit, unsigned vms, double perSecond)
{
    // With uses at random times, a fraction 1 - exp(-rate * idle time) of the VMs holds a connection at any moment.
    const double reuse = std::min(maxReuse, maxIdleFraction * limit / std::max(1U, vms));
    const double idleSeconds = -std::log(1 - reuse) / std::max(perSecond, minPerSecond);
    const double maxSeconds = std::chrono::duration<double>(maxIdleTimeout).count();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(idleSeconds, maxSeconds)));
}

Duration holderIdleTimeout(unsigned limit, unsigned vms, double perSecond)
{
    const double usesOfAll = std::max(1U, vms) * perSecond;
    const double maxSeconds = std::chrono::duration<double>(maxHolderIdleTimeout).count();
    const double idleSeconds = maxHolderIdleFraction * limit / std::max(usesOfAll, std::numeric_limits<double>::min());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(idleSeconds, maxSeconds)));
}

unsigned maxPersistentConnections(unsigned limit)
{
    return limit / 2;
}

std::optional<MemberId> assignedMember(const VmLocation &vm, absl::Span<const MemberLocation> members)
{
    const auto rank = [&](const MemberLocation &member) { return std::pair(member.zone_ == vm.zone_, assignmentWeight(member.member_, vm.vm_)); };
    const auto best = std::ranges::max_element(members, {}, rank);
    return best == members.end() ? std::nullopt : std::optional(best->member_);
}

bool keepsPersistentConnection(const VmLocation &self,
                               const MemberId &assigned,
                               absl::Span<const VmLocation> others,
                               absl::Span<const MemberLocation> members,
                               unsigned maxVms)
{
    const std::uint64_t weight = assignmentWeight(assigned, self.vm_);
    const auto ranksHigher = [&](const VmLocation &other) {
        return assignmentWeight(assigned, other.vm_) > weight && assignedMember(other, members) == assigned;
    };
    return static_cast<unsigned>(std::ranges::count_if(others, ranksHigher)) < maxVms;
}

} // namespace Figward
