/** \file
 * Defines how many connections this VM may have to one member, from plain figures: what the member takes from all VMs together, and how many those are.
 *
 * It answers two load patterns. With few VMs each has a share, and half of it is for ordinary load: when all VMs lose power at once, members hold the dead
 * connections for seconds, and VMs that start again find room only if the ones before them had left some. With more VMs than a member has connections for, there
 * is no share: a VM keeps one connection to a replica, its home, and some keep one to the primary; beyond these all visit, that is, they open a connection for a
 * statement that waits, and close it when it has rested for a while. With a share of one for each VM the first
 * comers kept all connections, those at a primary mostly for reports, and no statement that needs the primary was served.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <absl/types/span.h>
#include <optional>

namespace Figward {

/** Connections of this VM to one member. */
struct ConnectionPlan
{
    unsigned resting_ = 0; ///< May stay open while no statement needs them.
    unsigned most_ = 0; ///< May be open for statements that wait.
    Duration restTime_{}; ///< How long a connection above resting_ stays open between two statements.
    bool visits_ = false; ///< This VM has no share of the member's connections.
};

/** How often this VM runs something at a member: an average in which what is seconds old counts less. */
struct UseRate
{
    double perSecond_ = 0; ///< At the time below.
    Time at_;
};
/** Notes that a statement was given to the member. */
void noteUse(UseRate &rate, Time now);
/** The rate at \p now. */
double usesPerSecond(const UseRate &rate, Time now);

/** What the plan for one member depends on. */
struct ConnectionDemand
{
    unsigned limit_ = 0; ///< The member takes this many from all VMs together.
    unsigned vms_ = 1; ///< That share them.
    bool resident_ = false; ///< This VM may keep a connection to the member though there is no share; see isResident().
    double perSecond_ = 0; ///< Uses of the member by this VM; see UseRate.
    bool mayVisit_ = true; ///< Otherwise each VM takes one connection, however many there are.
    bool leavesRoom_ = true; ///< Otherwise the whole share may rest.
};

/** Plans the connections to one member. */
ConnectionPlan planConnections(const ConnectionDemand &demand);

/** Whether VMs have no share of their own of a member that takes \p limit connections: then they visit. */
bool areConnectionsScarce(unsigned limit, unsigned vms);

/**
 * How long a connection above the residents' rests after a visit. All VMs are taken to visit as often as this one: they then hold on average as many resting
 * connections as fit beside the residents, however many VMs there are; a fixed time leaves no connection once they are more.
 */
Duration visitRest(unsigned limit, unsigned vms, double perSecond);

/** A member that may be a VM's home. */
struct HomeCandidate
{
    MemberId member_;
    ZoneId zone_;
};
/** A VM that looks for its home. */
struct HomeSeeker
{
    VmId vm_;
    ZoneId zone_;
};

/** Which of \p members a VM stays connected to: one of its own zone if there is one, otherwise by rendezvous hashing; nothing without members. */
std::optional<MemberId> homeOf(const HomeSeeker &vm, absl::Span<const HomeCandidate> members);

/** Residents of a member that takes \p limit connections. The other half is for visits, for transactions, which rest between their statements, and for VMs that start. */
unsigned mostResidents(unsigned limit);
/**
 * Whether \p self keeps a connection to \p home, its home among \p members: \p most VMs do, those of the highest weights. \p others are the other VMs that are
 * known.
 */
bool isResident(const HomeSeeker &self, const MemberId &home, absl::Span<const HomeSeeker> others, absl::Span<const HomeCandidate> members, unsigned most);

} // namespace Figward
