/** \file
 * Defines the configuration and the member directory by which sessions are served, as the platform's objects give them.
 */
#pragma once

#include "Organisations.h"
#include "SessionTypes.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Figward {

/** Which log positions a read of a database must include. */
enum class Consistency {
    Primary, ///< All that was acknowledged.
    BoundedStaleness, ///< All that was acknowledged longer ago than the maximal staleness.
    ReadYourWrites, ///< As BoundedStaleness, and the session's own commits.
};

/** How sessions of one database are served. */
struct DatabaseRoute
{
    ServiceId service_;
    Consistency consistency_ = Consistency::Primary;
    Duration statementTimeout_{};
    Duration target_{}; ///< Aim for a whole operation.
    Duration maxStaleness_{};
    unsigned priority_ = 0; ///< 0 goes first.
    bool public_ = false; ///< Clients need no key.
};

/** What the members of one service allow. */
struct ServiceLimits
{
    unsigned maxConnections_ = 0; ///< A member takes this many from all callers together.
    unsigned syncReplicas_ = 0; ///< Replicas that have received a commit before it is acknowledged.
};

/** One accepted configuration. */
struct SessionConfiguration
{
    ConfigVersion version_;
    std::map<std::string, DatabaseRoute> databases_; ///< By the name that clients give.
    std::map<ServiceId, ServiceLimits> services_;
    std::optional<Organisations> organisations_; ///< Absent: clients need no keys.
    Duration transactionIdle_{}; ///< A transaction without a statement for this long may be ended.
};

/** One member of a service as it registers itself. */
struct DirectoryEntry
{
    MemberId id_;
    ServiceId service_;
    std::string address_;
    ZoneId zone_;
    bool leaving_ = false;
    bool callsItselfPrimary_ = false; ///< A hint, never proof.
    std::int64_t bornMillis_ = 0; ///< Unix time of its start; a member that returns under its id with another start knows nothing of before.
    auto operator<=>(const DirectoryEntry &) const = default;
};

/** All members at one revision of the store. */
struct MemberDirectory
{
    std::uint64_t revision_ = 0;
    std::vector<DirectoryEntry> entries_;
    std::set<std::string> unusable_; ///< Names of entries that could not be understood, empty for one without a name; they are no members.
};

/** One entry VM as it registers itself. */
struct EntryVm
{
    std::string name_; ///< Of the VM; a restarted process keeps it.
    VmId incarnation_; ///< Of the process.
    std::string address_; ///< For datagrams and for the mirror of the store.
    ZoneId zone_;
};

/** Where the replacement of a group's primary stands, as recorded in the store. */
enum class ClaimPhase {
    Steady, ///< The primary named may be used.
    Replacing, ///< No primary may be used.
};

/**
 * Claim of one VM on the leadership of a group: the leader alone replaces the primary and tells the others who it is.
 * The store's conditional update decides between claimants.
 */
struct LeaderClaim
{
    ServiceId group_;
    std::uint64_t revision_ = 0; ///< Of the object in the store; zero: it does not exist.
    std::string leaderName_; ///< VM; empty: released.
    VmId leader_;
    std::uint64_t generation_ = 0; ///< Grows with each new leader; the fencing token of promotions.
    std::uint64_t renewals_ = 0; ///< Grows with each renewal, so that others see that the leader lives.
    std::uint64_t epoch_ = 0; ///< Grows each time a primary is revoked.
    ClaimPhase phase_ = ClaimPhase::Replacing;
    MemberId primary_;
    Term term_; ///< Of the primary.
};

} // namespace Figward
