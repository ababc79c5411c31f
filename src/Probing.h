/** \file
 * Defines the probing of a group's members: rounds of probes, missed answers, and the evidence that bounds the age of replicas.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "TimerService.h"
#include "Units.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** A control call that has not ended yet. */
struct OutstandingControl
{
    GroupId group_;
    MemberId member_;
    Time sentAt_;
    std::uint64_t round_ = 0; ///< The probe round it belongs to, or zero.
};

/** Probing of one group. */
struct ProbeState
{
    std::set<MemberId> outstanding_; ///< Members with a probe under way; a member has at most one.
    bool pollArmed_ = false; ///< A poll of positions is due soon.
};

/** Starts to probe a group that this proxy has begun to own. */
void startProbing(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Asks the replicas for their positions soon, because a request waits for one. Cheap to call often. */
void pollPositions(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Subscriber of ProbeRound and PositionPoll. */
void onProbeTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** Takes in the end of a control call, whatever it was for. */
void onControlAnswered(ProxyState &state, const ControlAnswer &answer, Time now, Effects &out);

} // namespace Figward
