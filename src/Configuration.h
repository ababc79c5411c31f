/** \file
 * Defines a configuration: services, their database groups, work classes and the policy of the whole system.
 *
 * ConfigurationText parses and checks the text written by operators, so that these structs are always consistent.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <map>
#include <string>
#include <vector>

namespace Figward {

/** A class of work within a service. */
struct WorkClass
{
    ClassId id_;
    unsigned priority_ = 0; ///< 0 is served first.
};

/** One database of a group. */
struct MemberConfig
{
    MemberId id_;
    ZoneId zone_;
    std::string address_; ///< "host:port".
    bool leaving_ = false; ///< The member gets no new work; transactions open on it may finish.
    bool operator==(const MemberConfig &) const = default;
};

/** A database group: members that replicate from one primary. */
struct GroupConfig
{
    GroupId id_;
    ServiceId service_;
    std::vector<MemberConfig> members_;
    ConnectionCount connectionLimit_; ///< Maximum number of connections from all proxies together.
    SlotCount slots_; ///< Maximum number of statements that run concurrently on the group.
    bool operator==(const GroupConfig &) const = default;
};

/** A service with its work classes and database groups. */
struct ServiceConfig
{
    ServiceId id_;
    std::vector<ServiceId> dependsOn_;
    std::vector<WorkClass> classes_; ///< Ordered by priority; never empty.
    std::vector<GroupId> groups_;
};

/** Settings shared by all proxies. The defaults suit the current size of the system. */
struct Policy
{
    unsigned ownersPerGroup_ = 3;
    Duration probeInterval_ = std::chrono::milliseconds(100); ///< Interval between probe rounds of the owner of first rank.
    Duration slowProbeInterval_ = std::chrono::milliseconds(1000); ///< Interval between probe rounds of the other owners.
    Duration probeTimeout_ = std::chrono::milliseconds(100);
    unsigned missedProbes_ = 3; ///< Consecutive missed probes after which a member is suspected.
    Duration statementTimeout_ = std::chrono::seconds(2); ///< A connection is closed if a statement on it is not answered within this time.
    Duration idleConnectionLife_ = std::chrono::seconds(30);
    unsigned queueLimit_ = 200; ///< Maximum number of queued requests at an owner of a group.
    unsigned retryBudgetPercent_ = 20; ///< Retries allowed per hundred new requests.
    Duration keyRetention_ = std::chrono::hours(24); ///< Idempotency keys of sessions older than this are deleted.
    Duration drainTimeout_ = std::chrono::seconds(30); ///< Time after which the open transactions of a draining proxy are rolled back.
};

/** A complete accepted configuration. */
struct Configuration
{
    ConfigVersion version_;
    Policy policy_;
    std::map<ServiceId, ServiceConfig> services_;
    std::map<GroupId, GroupConfig> groups_;
};

} // namespace Figward
