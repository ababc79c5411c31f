/** \file
 * Defines the replacement of a lost primary: suspicion, terms granted in advance, fencing, choice of the new primary, promotion.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "TimerService.h"
#include "Units.h"

#include <optional>
#include <vector>

namespace Figward {

struct ProxyState;
struct OutstandingCall;
struct GroupOwner;

/** Terms first_ to last_ that only this incarnation may use for this group. */
struct TermBlock
{
    Term first_;
    Term last_;
};

/** Failover of one group. */
struct FailoverState
{
    std::vector<TermBlock> blocks_; ///< Unused terms, lowest first.
    std::optional<Time> suspectedAt_;
};

/** Begins to watch over the primary of a group that this proxy has begun to own. */
void startFailover(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** The view of the members changed, or a probe was missed: suspects the primary, or drops the suspicion. */
void reviewPrimary(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Subscriber of Failover and GroupRecord. */
void onFailoverTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** The platform answered a call about the record of call.group_. */
void onGroupRecordAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out);
void onSuspicionQuery(ProxyState &state, const PeerMessage &message, const SuspicionQuery &query, Time now, Effects &out);
void onSuspicionAnswer(ProxyState &state, const PeerMessage &message, const SuspicionAnswer &answer, Time now, Effects &out);
void onPrimaryNews(ProxyState &state, const PeerMessage &message, const PrimaryNews &news, Time now, Effects &out);
void onTermHandover(ProxyState &state, const PeerMessage &message, const TermHandover &handover, Time now, Effects &out);

} // namespace Figward
