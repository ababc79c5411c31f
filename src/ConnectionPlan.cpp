#include "ConnectionPlan.h"

#include "Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Figward {

namespace {

/**
 * A VM whose part is smaller has no share: two for statements, as its transactions, which rest between statements, would take the whole of one, and one for
 * reports on the primary, without which VMs with shares of just two are refused.
 */
constexpr unsigned smallestPart = 3;
/** A VM that visits runs at most this many statements and transactions at one member: more than members have slots only wait there. */
constexpr unsigned mostVisits = 4;
/** Connections above ordinary load rest this long: with longer rests a VM always holds its whole share, and members have no room for VMs that return from a loss of power. */
constexpr Duration spareRest = std::chrono::seconds(1);
/** Of a member's connections, those that may rest after visits: the rest is for statements at work and transactions. */
constexpr double restingPart = 0.25;
/** A rest is no longer, however seldom this VM comes: with longer ones, VMs that start again after a loss of power found no room. */
constexpr Duration longestRest = std::chrono::milliseconds(1000);
/** However few VMs there are, visits are no more certain than this to find a connection that rests. */
constexpr double mostReuse = 0.95;
/** Visits rarer than this rest as if they were not: until a VM has come a few times, its rate is not known, and all VMs may begin at once. */
constexpr double fewestPerSecond = 1;
/** Uses count for this long in an average: it follows a burst within seconds, and at one use a second still counts five. */
constexpr double useMemorySeconds = 5;

double secondsBetween(Time from, Time to)
{
    return std::chrono::duration<double>(to - from).count();
}

std::uint64_t homeWeight(const MemberId &member, VmId vm)
{
    return rendezvousWeight(GroupId(member.value()), vm);
}

} // namespace

bool areConnectionsScarce(unsigned limit, unsigned vms)
{
    return limit < smallestPart * std::max(1U, vms);
}

ConnectionPlan planConnections(const ConnectionDemand &demand)
{
    if (demand.mayVisit_ && areConnectionsScarce(demand.limit_, demand.vms_)) {
        return {demand.resident_ ? 1U : 0U, std::min(mostVisits, std::max(1U, demand.limit_)), visitRest(demand.limit_, demand.vms_, demand.perSecond_), true};
    }
    const unsigned share = std::max(1U, demand.limit_ / std::max(1U, demand.vms_));
    const unsigned resting = demand.leavesRoom_ ? std::max(1U, share / 2) : share;
    return {resting, share, spareRest};
}

Duration visitRest(unsigned limit, unsigned vms, double perSecond)
{
    // Of VMs that come at random, 1 - exp(-rate * rest) hold a connection at any moment.
    const double reuse = std::min(mostReuse, restingPart * limit / std::max(1U, vms));
    const double rest = -std::log(1 - reuse) / std::max(perSecond, fewestPerSecond);
    const double longest = std::chrono::duration<double>(longestRest).count();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(rest, longest)));
}

void noteUse(UseRate &rate, Time now)
{
    rate.perSecond_ = usesPerSecond(rate, now) + 1 / useMemorySeconds;
    rate.at_ = now;
}

double usesPerSecond(const UseRate &rate, Time now)
{
    return rate.perSecond_ * std::exp(-secondsBetween(rate.at_, now) / useMemorySeconds);
}

unsigned mostResidents(unsigned limit)
{
    return limit / 2;
}

std::optional<MemberId> homeOf(const HomeSeeker &vm, absl::Span<const HomeCandidate> members)
{
    const auto order = [&](const HomeCandidate &member) { return std::pair(member.zone_ == vm.zone_, homeWeight(member.member_, vm.vm_)); };
    const auto best = std::ranges::max_element(members, {}, order);
    return best == members.end() ? std::nullopt : std::optional(best->member_);
}

bool isResident(const HomeSeeker &self, const MemberId &home, absl::Span<const HomeSeeker> others, absl::Span<const HomeCandidate> members, unsigned most)
{
    const std::uint64_t weight = homeWeight(home, self.vm_);
    const auto goesBefore = [&](const HomeSeeker &other) { return homeWeight(home, other.vm_) > weight && homeOf(other, members) == home; };
    return static_cast<unsigned>(std::ranges::count_if(others, goesBefore)) < most;
}

} // namespace Figward
