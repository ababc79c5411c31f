/** \file
 * Defines the status report for operators: the state of each VM and of the groups of which it is the first owner, collected per availability zone.
 */
#pragma once

#include "Ids.h"

#include <absl/status/statusor.h>
#include <absl/types/span.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** A member of a group, as its first owner sees it. */
struct MemberReport
{
    MemberId id_;
    bool reachable_ = false;
    bool leaving_ = false;
    std::uint64_t behind_ = 0; ///< Log entries behind the primary, rounded up to a power of two so that the report does not change with each write.
    bool operator==(const MemberReport &) const = default;
};

/** A group, as its first owner sees it. */
struct GroupReport
{
    GroupId id_;
    ServiceId service_;
    Term term_;
    std::optional<MemberId> primary_;
    std::uint64_t primarySince_ = 0; ///< Seconds since the Unix epoch; zero if not known. If there is no primary, the time since when there is none.
    std::uint64_t failovers_ = 0; ///< Changes of primary observed by this owner.
    std::uint64_t lastGapMillis_ = 0; ///< Time without a primary during the last change.
    unsigned queued_ = 0; ///< Queued requests, rounded up to a power of two.
    unsigned connections_ = 0; ///< Connections held by this owner in quarters of its quota: 0 to 4, or 5 if above the quota.
    std::vector<MemberReport> members_;
    bool operator==(const GroupReport &) const = default;
};

/** Status of one proxy. */
struct VmReport
{
    VmId id_;
    ZoneId zone_;
    std::string address_;
    ConfigVersion version_;
    ConfigVersion refusedVersion_; ///< Higher than version_ if a newer configuration was refused.
    std::string refusal_;
    bool draining_ = false;
    bool platformAway_ = false;
    std::vector<GroupReport> groups_; ///< Groups of which this proxy is the first owner.
    bool operator==(const VmReport &) const = default;
};

/** A service and the services that it depends on. */
struct ServiceDependency
{
    ServiceId id_;
    std::vector<ServiceId> dependsOn_;
    bool operator==(const ServiceDependency &) const = default;
};

/** Report of one availability zone; stored as one object on the platform. */
struct ZoneReport
{
    ZoneId zone_;
    std::uint64_t writtenAt_ = 0; ///< Seconds since the Unix epoch.
    std::vector<VmReport> vms_;
    std::vector<ServiceDependency> dependencies_; ///< Services without dependencies are omitted.
};

/** Returns the path of the report of \p zone on the platform. */
std::string statusPath(const ZoneId &zone);
/** Returns \p report as JSON text. */
std::string encodeVmReport(const VmReport &report);
/** \overload */
std::string encodeZoneReport(const ZoneReport &report);
/** Decodes the output of encodeVmReport(); returns InvalidArgument for any other text. */
absl::StatusOr<VmReport> decodeVmReport(std::string_view text);
/** Decodes the output of encodeZoneReport(); returns InvalidArgument for any other text. */
absl::StatusOr<ZoneReport> decodeZoneReport(std::string_view text);

/** Returns the services with a group that cannot accept writes, and all services that depend on one of them, ordered by name. */
std::vector<ServiceId> impairedServices(absl::Span<const ZoneReport> zones);
/**
 * Returns a readable text: first the problems, each with its duration, the behaviour of figward and the action to take; then the state of each zone, VM and
 * group. \p nowSeconds is the current time in seconds since the Unix epoch, to which ages are relative.
 */
std::string renderStatus(absl::Span<const ZoneReport> zones, std::uint64_t nowSeconds);

} // namespace Figward
