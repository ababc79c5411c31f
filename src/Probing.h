/** \file
 * Defines the probing of a group's members: periodic rounds of probes, the count of missed probes, and polls of log positions while a request waits for one.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "GroupView.h"
#include "TimerService.h"
#include "Units.h"

#include <map>
#include <optional>

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** A control call in flight. */
struct OutstandingControl
{
    GroupId group_;
    MemberId member_;
    Time sentAt_;
    ControlBody body_;
};

/** The smallest staleness bound requested by recent reads, in two halves of a sliding window. */
struct RequestedStaleness
{
    Time halfSince_;
    std::optional<Duration> current_; ///< Minimum in the current half of the window.
    std::optional<Duration> previous_; ///< Minimum in the previous half.
};

/** Probing state of one group. */
struct ProbeState
{
    std::map<MemberId, ControlId> outstanding_; ///< Latest probe in flight, tracked per member so that an unresponsive member does not delay the others.
    Time lastRoundAt_;
    Time nextRoundAt_;
    bool pollArmed_ = false; ///< The timer of the next poll is armed.
    bool pollRequested_ = false; ///< A poll has been requested since the last one.
    RequestedStaleness requestedStaleness_;
};

/** Starts to probe a group that this proxy now owns. */
void startProbing(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Probes all members now. */
void probeRound(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Schedules a poll of the replicas' positions because a request waits for one. Cheap to call often. */
void pollPositions(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Records that a read accepts data up to \p maxStaleness old. For about a second, rounds then follow each other closely enough to determine such an age. */
void recordRequestedStaleness(ProxyState &state, GroupOwner &owner, Duration maxStaleness, Time now);
/** Interval between two rounds at \p now. */
Duration probeRoundInterval(const ProxyState &state, const GroupOwner &owner, Time now);
/** Sends a control call to \p member; its result is passed to onControlAnswered(). */
ControlId sendControl(ProxyState &state, const GroupOwner &owner, const MemberView &member, ControlBody body, Time now, Effects &out);
/** Handler of ProbeRound and PositionPoll timers. */
void onProbeTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** Handles the result of a control call of any kind. */
void onControlAnswered(ProxyState &state, const ControlAnswer &answer, Time now, Effects &out);

} // namespace Figward
