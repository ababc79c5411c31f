/** \file
 * Defines the configuration and the member directory that the session service uses, as read from the platform's objects.
 */
#pragma once

#include "Organisations.h"
#include "SessionTypes.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Figward {

/** Consistency of reads of a database: the commits that a read must include. */
enum class Consistency {
    Primary, ///< All acknowledged commits.
    BoundedStaleness, ///< All commits acknowledged longer ago than the maximum staleness.
    ReadYourWrites, ///< As BoundedStaleness, and additionally the session's own commits.
};

/** Settings for the sessions of one database. */
struct DatabaseRoute
{
    ServiceId service_;
    Consistency consistency_ = Consistency::Primary;
    Duration statementTimeout_{};
    Duration target_{}; ///< Latency target of a whole operation.
    Duration maxStaleness_{};
    unsigned priority_ = 0; ///< 0 is served first.
    bool public_ = false; ///< Clients need no key.
};

/** Limits of the members of one service. */
struct ServiceLimits
{
    unsigned maxConnections_ = 0; ///< Maximum number of connections that a member accepts from all VMs together.
    unsigned syncReplicas_ = 0; ///< Number of replicas that must have received a commit before it is acknowledged.
};

/** An accepted configuration. */
struct SessionConfiguration
{
    ConfigVersion version_;
    std::map<std::string, DatabaseRoute> databases_; ///< By the name given by clients.
    std::map<ServiceId, ServiceLimits> services_;
    std::optional<Organisations> organisations_; ///< Absent: clients need no keys.
    Duration transactionIdle_{}; ///< Idle time after which a transaction may be ended.
};

/** Registration of a member of a service. */
struct DirectoryEntry
{
    MemberId id_;
    ServiceId service_;
    std::string address_;
    ZoneId zone_;
    bool leaving_ = false;
    bool claimsPrimary_ = false; ///< Only a hint; not proof that it is the primary.
    MemberStart started_; ///< Start of its process; zero if unknown. A member that returns with the same id and a later start has lost its state.
    auto operator<=>(const DirectoryEntry &) const = default;
};

/** All registered members at one revision of the store. */
struct MemberDirectory
{
    std::uint64_t revision_ = 0;
    std::vector<DirectoryEntry> entries_;
    std::set<std::string> unusable_; ///< Names of entries that could not be parsed, empty for an entry without a name; they are not members.
};

/** Registration of an entry VM. */
struct EntryVm
{
    std::string name_; ///< Name of the VM; kept by a restarted process.
    VmId incarnation_; ///< Identifies the process.
    std::string address_; ///< Address for datagrams and for the VM's mirror of the store.
    ZoneId zone_;
};

/** Phase of the replacement of a group's primary, as recorded in the store. */
enum class ClaimPhase {
    Steady, ///< The recorded primary may be used.
    Replacing, ///< No primary may be used.
};

/**
 * Claim of a VM on the leadership of a group. Only the leader replaces the primary and announces it to the other VMs. Concurrent claims are resolved by the
 * store's conditional update.
 */
struct LeaderClaim
{
    ServiceId group_;
    std::uint64_t revision_ = 0; ///< Revision of the object in the store; zero: it does not exist.
    std::string leaderName_; ///< Name of the leading VM; empty: the claim was released.
    VmId leader_;
    std::uint64_t generation_ = 0; ///< Increases with each new leader; used as the fencing token of promotions.
    std::uint64_t renewals_ = 0; ///< Increases with each renewal, which shows other VMs that the leader is alive.
    std::uint64_t epoch_ = 0; ///< Increases each time a primary is revoked.
    ClaimPhase phase_ = ClaimPhase::Replacing;
    MemberId primary_;
    Term term_; ///< Term of the primary.
    std::optional<LogPoint> termStart_; ///< End of the log with which the primary's term began; absent if unknown.
};

} // namespace Figward
