/** \file
 * Defines the choice of the member that serves a read: a replica if the session's token and the requested staleness allow it, otherwise the primary.
 */
#pragma once

#include "Configuration.h"
#include "Request.h"
#include "Units.h"

#include <optional>

namespace Figward {

struct GroupOwner;

/** Conditions that the member serving a read must meet. */
struct ReadRequirements
{
    std::optional<LogPoint> after_; ///< The session's position in this group, which the member's log must contain.
    std::optional<Duration> maxStaleness_;
};

/** How a read proceeds. */
enum class ReadStep {
    UseReplica,
    UsePrimary,
    Wait, ///< No replica can serve the read yet, but one may soon.
    Unserved, ///< Neither a suitable replica nor a usable primary is known.
};

/** The member that serves a read, and how the read proceeds. */
struct MemberChoice
{
    ReadStep step_ = ReadStep::Unserved;
    MemberId member_;
};

/** Conditions that \p request sets for \p group. */
ReadRequirements readRequirementsOf(const Request &request, const GroupId &group);
/** Chooses a member for a read at \p now, preferring members in \p zone. With \p mayWait, the read can still wait for a replica to catch up. */
MemberChoice chooseForRead(const GroupOwner &owner, const ReadRequirements &requirements, const ZoneId &zone, Time now, bool mayWait);
/** Returns the primary if it is known and may receive new requests at \p now. */
std::optional<MemberId> usablePrimary(const GroupOwner &owner, Time now);

} // namespace Figward
