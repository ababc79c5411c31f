/** \file
 * Defines calls to the platform from the core: who waits for the answer, and what a lost answer means.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "Units.h"

#include <map>

namespace Figward {

struct ProxyState;

/** The part of the core that waits for an answer. */
enum class PlatformUser {
    Membership,
    ConfigurationWatch,
    ConfigurationPart,
    GroupRecord,
    Status,
};

/** A call that has not ended yet. */
struct OutstandingCall
{
    PlatformUser user_{};
    GroupId group_; ///< For GroupRecord.
    std::string detail_; ///< The user's own, such as a path.
};

/** Calls under way. */
struct PlatformClientState
{
    std::map<CallId, OutstandingCall> outstanding_;
    std::uint64_t nextCall_ = 1;
};

/** Calls the platform on behalf of \p user; the answer goes to that part. */
CallId callPlatform(ProxyState &state, PlatformUser user, PlatformBody body, Duration timeout, Effects &out, GroupId group = {}, std::string detail = {});
/** Hands the answer to the part that waits for it. */
void onPlatformAnswered(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out);

} // namespace Figward
