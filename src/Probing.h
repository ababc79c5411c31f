/** \file
 * Defines the probing of a group's members: rounds of probes, missed answers, and polls of positions while a request waits for one.
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

/** A control call that has not ended yet. */
struct OutstandingControl
{
    GroupId group_;
    MemberId member_;
    Time sentAt_;
    ControlBody body_;
};

/** The smallest max staleness that reads have stated lately; halves of a sliding window. */
struct StalenessWanted
{
    Time halfSince_;
    std::optional<Duration> present_; ///< In the half of the window that runs now.
    std::optional<Duration> former_; ///< In the half before it.
};

/** Probing of one group. */
struct ProbeState
{
    std::map<MemberId, ControlId> outstanding_; ///< Probes of rounds and polls under way; a member has at most one, so a dead one delays no other.
    Time lastRoundAt_;
    Time nextRoundAt_;
    bool pollArmed_ = false; ///< A poll of positions is due soon.
    bool pollWanted_ = false; ///< Asked for since the last poll.
    StalenessWanted wanted_;
};

/** Starts to probe a group that this proxy has begun to own. */
void startProbing(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Probes all members now, but for those with a probe under way. */
void probeRound(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Asks the replicas for their positions soon, because a request waits for one. Cheap to call often. */
void pollPositions(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** A read accepts data up to \p maxStaleness old: for a second, rounds come often enough to tell such an age. */
void noteStalenessWanted(ProxyState &state, GroupOwner &owner, Duration maxStaleness, Time now);
/** Time between two rounds at \p now. */
Duration probeRoundInterval(const ProxyState &state, const GroupOwner &owner, Time now);
/** Makes a control call to \p member; its end comes to onControlAnswered(). */
ControlId sendControl(ProxyState &state, const GroupOwner &owner, const MemberView &member, ControlBody body, Time now, Effects &out);
/** Subscriber of ProbeRound and PositionPoll. */
void onProbeTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** Takes in the end of a control call, whatever it was for. */
void onControlAnswered(ProxyState &state, const ControlAnswer &answer, Time now, Effects &out);

} // namespace Figward
