/** \file
 * Defines the choice of the member that serves a read: a replica wherever the session's token and the stated age allow it, the primary otherwise.
 */
#pragma once

#include "Configuration.h"
#include "Request.h"
#include "Units.h"

#include <optional>

namespace Figward {

struct GroupOwner;

/** What a read asks of the member that serves it. */
struct ReadNeeds
{
    std::optional<LogPoint> after_; ///< The session's token for this group.
    std::optional<Duration> maxStaleness_;
};

/** What a read should do. */
enum class ReadStep {
    UseReplica,
    UsePrimary,
    Wait, ///< No replica serves it yet; one may soon.
    Unserved, ///< Neither a replica nor a primary that may answer is known.
};

/** Where a read goes. */
struct MemberChoice
{
    ReadStep step_ = ReadStep::Unserved;
    MemberId member_;
};

/** The needs of \p request for \p group. */
ReadNeeds needsOf(const Request &request, const GroupId &group);
/** Chooses for a read at \p now, preferring \p zone; \p mayWait if the read can still wait for a replica to catch up. */
MemberChoice chooseForRead(const GroupOwner &owner, const ReadNeeds &needs, const ZoneId &zone, Time now, bool mayWait);
/** The primary, if one is known that may take new work at \p now. */
std::optional<MemberId> usablePrimary(const GroupOwner &owner, Time now);

} // namespace Figward
