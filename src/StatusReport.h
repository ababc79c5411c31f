/** \file
 * Defines the report that operators watch: what each VM knows of itself and of the groups that it is the first owner of, joined by availability zone.
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
    std::uint64_t behind_ = 0; ///< Log entries behind the primary, rounded up to a power of two: a report must not change with each write.
    bool operator==(const MemberReport &) const = default;
};

/** A group, as its first owner sees it. */
struct GroupReport
{
    GroupId id_;
    ServiceId service_;
    Term term_;
    std::optional<MemberId> primary_;
    std::uint64_t primarySince_ = 0; ///< Seconds since the Unix epoch; zero if not known. Without a primary: since when there is none.
    std::uint64_t failovers_ = 0; ///< Changes of primary that this owner saw.
    std::uint64_t lastGapMillis_ = 0; ///< How long the last one left the group without a primary.
    unsigned queued_ = 0; ///< Requests that wait, rounded up to a power of two.
    unsigned connections_ = 0; ///< Held by this owner, in quarters of its quota: 0 to 4, 5 when over it.
    std::vector<MemberReport> members_;
    bool operator==(const GroupReport &) const = default;
};

/** One proxy. */
struct VmReport
{
    VmId id_;
    ZoneId zone_;
    std::string address_;
    ConfigVersion version_;
    ConfigVersion refusedVersion_; ///< Above version_ if a configuration could not be used.
    std::string refusal_;
    bool draining_ = false;
    bool platformAway_ = false;
    std::vector<GroupReport> groups_; ///< Of which it is the first owner.
    bool operator==(const VmReport &) const = default;
};

/** A service that needs others. */
struct ServiceDependency
{
    ServiceId id_;
    std::vector<ServiceId> dependsOn_;
    bool operator==(const ServiceDependency &) const = default;
};

/** What one availability zone reports; one object on the platform. */
struct ZoneReport
{
    ZoneId zone_;
    std::uint64_t writtenAt_ = 0; ///< Seconds since the Unix epoch.
    std::vector<VmReport> vms_;
    std::vector<ServiceDependency> dependencies_; ///< Services that need none are left out.
};

/** Path of the report of \p zone on the platform. */
std::string statusPath(const ZoneId &zone);
/** JSON text of \p report. */
std::string encodeVmReport(const VmReport &report);
/** \overload */
std::string encodeZoneReport(const ZoneReport &report);
/** Reads what encodeVmReport() wrote; InvalidArgument otherwise. */
absl::StatusOr<VmReport> decodeVmReport(std::string_view text);
/** Reads what encodeZoneReport() wrote; InvalidArgument otherwise. */
absl::StatusOr<ZoneReport> decodeZoneReport(std::string_view text);

/** Services with a group that cannot take writes, and those that depend on one, ordered by name. */
std::vector<ServiceId> impairedServices(absl::Span<const ZoneReport> zones);
/**
 * Text for a person: what is wrong, since when, what figward did and what to do about it; then the state in a line for each group and zone. Times are relative to
 * \p nowSeconds since the Unix epoch.
 */
std::string renderStatus(absl::Span<const ZoneReport> zones, std::uint64_t nowSeconds);

} // namespace Figward
