/** \file
 * Defines what operators watch: the state of services, groups and VMs, written sparingly to the platform.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "TimerService.h"
#include "Units.h"

namespace Figward {

struct ProxyState;

/** What the status report counts. */
struct StatusState
{
    std::string reported_; ///< The last report that went out.
};

/** Begins to report. */
void startStatus(ProxyState &state, Time now, Effects &out);
/** Subscriber of Status. */
void onStatusTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
void onStatusNews(ProxyState &state, const PeerMessage &message, const StatusNews &news, Time now, Effects &out);
void onStatusAnswer(ProxyState &state, const PlatformAnswer &answer, Time now, Effects &out);

} // namespace Figward
