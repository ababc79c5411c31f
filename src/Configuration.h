/** \file
 * Defines the configuration in force: services, their database groups, classes of work and the policy of the whole system.
 *
 * ConfigurationText reads it from what operators write; these structs are always consistent.
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
    bool leaving_ = false; ///< It gets no new work; transactions that are open there finish.
    bool operator==(const MemberConfig &) const = default;
};

/** A database group: members that replicate from one primary. */
struct GroupConfig
{
    GroupId id_;
    ServiceId service_;
    std::vector<MemberConfig> members_;
    ConnectionCount connectionLimit_; ///< What the group accepts from all proxies together.
    SlotCount slots_; ///< Statements that the group runs at once.
    bool operator==(const GroupConfig &) const = default;
};

/** A service: groups with the callers that they serve. */
struct ServiceConfig
{
    ServiceId id_;
    std::vector<ServiceId> dependsOn_;
    std::vector<WorkClass> classes_; ///< Ordered by priority; never empty.
    std::vector<GroupId> groups_;
};

/** Settings that all proxies share. Each has a default that fits the sizes of today. */
struct Policy
{
    unsigned ownersPerGroup_ = 3;
    Duration probeInterval_ = std::chrono::milliseconds(100); ///< Between probe rounds of the first owner in rank.
    Duration slowProbeInterval_ = std::chrono::milliseconds(1000); ///< Between probe rounds of the other owners.
    Duration probeTimeout_ = std::chrono::milliseconds(100);
    unsigned missedProbes_ = 3; ///< Missed in a row before a member is suspected.
    Duration statementTimeout_ = std::chrono::seconds(2); ///< A statement unanswered for so long costs its connection.
    Duration idleConnectionLife_ = std::chrono::seconds(30);
    unsigned queueLimit_ = 200; ///< Requests that wait at an owner of a group.
    unsigned retryBudgetPercent_ = 20; ///< Retries allowed for each hundred fresh requests.
    Duration keyRetention_ = std::chrono::hours(24); ///< Sessions older than this are trimmed.
    Duration drainTimeout_ = std::chrono::seconds(30); ///< Open transactions of a draining proxy are rolled back after this.
};

/** A whole accepted configuration. */
struct Configuration
{
    ConfigVersion version_;
    Policy policy_;
    std::map<ServiceId, ServiceConfig> services_;
    std::map<GroupId, GroupConfig> groups_;
};

} // namespace Figward
