/** \file
 * Defines how many connections this VM may have to one member, as a function of the member's connection limit and the number of VMs that share it.
 *
 * There are two cases. With few VMs, each has a share of the connections, half of which is for ordinary load. The other half is a reserve: when all VMs lose
 * power at once, members hold the dead connections for seconds, and the restarted VMs can connect only if connections were left free.
 *
 * If the limit is too low for a share per VM, connections are scarce. Some VMs then keep one persistent connection to the replica assigned to them, and some
 * keep one to the primary. All other connections are temporary: opened for a statement that waits, and closed after a short idle time. With a share of one
 * connection per VM, the first VMs would hold all connections, those to a primary mostly for reports, and no statement that needs the primary would be served.
 */
#pragma once

#include "Ids.h"
#include "Units.h"
#include "UseRate.h"

#include <absl/types/span.h>
#include <optional>

namespace Figward {

/** Limits on the connections of this VM to one member. */
struct ConnectionPlan
{
    unsigned maxIdle_ = 0; ///< Number that may stay open while no statement uses them.
    unsigned maxOpen_ = 0; ///< Number that may be open while statements wait.
    Duration idleTimeout_{}; ///< Idle time after which a connection above maxIdle_ is closed.
    bool temporary_ = false; ///< This VM has no share of the member's connections; all but persistent ones are temporary.
};

/** Inputs of the plan for one member. */
struct ConnectionDemand
{
    unsigned limit_ = 0; ///< Maximum number of connections that the member accepts from all VMs together.
    unsigned vms_ = 1; ///< Number of VMs that share them.
    bool persistent_ = false; ///< This VM may keep a persistent connection to the member although connections are scarce.
    double perSecond_ = 0; ///< Rate at which this VM uses the member; see UseRate.
    bool allowsTemporary_ = true; ///< If false, each VM has a share of at least one connection, however many VMs there are.
    bool forwardsReads_ = false; ///< Reads are forwarded to VMs that keep connections for organisations; see ReadForwarding.h.
    bool keepsReserve_ = true; ///< Half of the share is a reserve; if false, the whole share may stay open while idle.
};

/** Plans the connections to one member. */
ConnectionPlan planConnections(const ConnectionDemand &demand);

/** Whether \p vms VMs are too many for each to have a share of a member with \p limit connections, so that they use temporary ones. */
bool areConnectionsScarce(unsigned limit, unsigned vms);

/**
 * Idle time after which a temporary connection is closed. It assumes that all VMs use the member as often as this one; they then hold on average only as many
 * idle connections as fit beside the persistent ones, however many VMs there are. With a fixed time, a larger number of VMs would use up all connections.
 */
Duration temporaryIdleTimeout(unsigned limit, unsigned vms, double perSecond);

/**
 * The same where reads are forwarded to the VMs that keep connections for organisations. There are no persistent connections, so half of the member's
 * connections may be idle.
 */
Duration holderIdleTimeout(unsigned limit, unsigned vms, double perSecond);

/** A member to which VMs may keep a persistent connection. */
struct MemberLocation
{
    MemberId member_;
    ZoneId zone_;
};
/** A VM to which a member is assigned. */
struct VmLocation
{
    VmId vm_;
    ZoneId zone_;
};

/** Member to which \p vm is assigned: one of its own zone if there is one, otherwise any, chosen by rendezvous hashing; absent if there are no members. */
std::optional<MemberId> assignedMember(const VmLocation &vm, absl::Span<const MemberLocation> members);

/**
 * Maximum number of persistent connections to a member with \p limit connections: half of them. The other half is for temporary connections, for transactions,
 * which are idle between their statements, and for VMs that start.
 */
unsigned maxPersistentConnections(unsigned limit);
/**
 * Whether \p self keeps a persistent connection to \p assigned, the member assigned to it among \p members. Of the VMs to which that member is assigned, the
 * \p maxVms with the highest weights do. The other known VMs are \p others.
 */
bool keepsPersistentConnection(const VmLocation &self,
                               const MemberId &assigned,
                               absl::Span<const VmLocation> others,
                               absl::Span<const MemberLocation> members,
                               unsigned maxVms);

} // namespace Figward
