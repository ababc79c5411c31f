/** \file
 * Defines how the core calls the platform and passes each answer to the component that made the call.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "Units.h"

#include <map>

namespace Figward {

struct ProxyState;

/** The component of the core that made a call and receives the answer. */
enum class PlatformRequester {
    Membership,
    ConfigurationWatch,
    ConfigurationPart,
    GroupRecord,
    Status,
};

/** A call whose answer is pending. */
struct OutstandingCall
{
    PlatformRequester requester_{};
    GroupId group_; ///< Set for calls of GroupRecord.
    std::string detail_; ///< Data of the requester, such as the content hash of a requested part.
};

/** Pending calls to the platform. */
struct PlatformClientState
{
    std::map<CallId, OutstandingCall> outstanding_;
    std::uint64_t nextCall_ = 1;
};

/** Calls the platform on behalf of \p requester, which receives the answer. */
CallId
callPlatform(ProxyState &state, PlatformRequester requester, PlatformBody body, Duration timeout, Effects &out, GroupId group = {}, std::string detail = {});
/** Passes an answer to the component that made the call; an answer to an unknown call is ignored. */
void onPlatformAnswered(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out);

} // namespace Figward
