/** \file
 * Defines the replacement of a lost primary: who starts it and when. Its steps are in Suspicion, Fencing and Promotion.
 *
 * Safety rests on the members alone: a failover that has fenced a majority at its term ends all lower terms, and no two owners share a term. So the waits
 * here serve speed and calm only, and an owner that was paused, cut off or misinformed at any point does no harm beyond a needless promotion.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "Fencing.h"
#include "GroupRecord.h"
#include "Promotion.h"
#include "Suspicion.h"
#include "TermBlocks.h"
#include "TimerService.h"
#include "Units.h"

#include <map>
#include <optional>
#include <vector>

namespace Figward {

struct ProxyState;
struct OutstandingCall;
struct GroupOwner;

/** Failover of one group. */
struct FailoverState
{
    unsigned rank_ = 0; ///< Among the owners, those in another zone than the primary first. 0 tries first and probes fast.
    std::vector<TermBlock> blocks_; ///< Unused terms.
    std::vector<TermBlock> handedOver_; ///< Blocks that drained proxies have given, as they came.
    Term newestGrant_; ///< First term of the newest block adopted from the record.
    GroupRecordState record_;
    Suspicion suspicion_;
    PendingWords pendingWords_;
    std::optional<FencingAttempt> attempt_;
    unsigned failures_ = 0; ///< Attempts and refusals by a second word, in a row.
    unsigned unconfirmed_ = 0; ///< Attempts without any second word, not long ago.
    Time unconfirmedAt_; ///< The last of them.
    Time retryAt_; ///< No attempt before this.
    Time primarySince_; ///< When the present primary became known here.
    std::map<MemberId, RejoinState> rejoins_;
    std::optional<Time> wakeAt_; ///< Earliest timer armed.
};

/** Begins to watch over the primary of a group that this proxy has begun to own. */
void startFailover(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** The view of the members changed, or a probe was missed: suspects the primary, or drops the suspicion, and takes the next step that is due. */
void reviewPrimary(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Regular care, with each probe round: the record on the platform, members that rejoin, the rank. */
void tendFailover(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Subscriber of Failover and GroupRecord. */
void onFailoverTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** The platform answered a call about the record of call.group_. */
void onGroupRecordAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out);
void onSuspicionQuery(ProxyState &state, const PeerMessage &message, const SuspicionQuery &query, Time now, Effects &out);
void onSuspicionAnswer(ProxyState &state, const PeerMessage &message, const SuspicionAnswer &answer, Time now, Effects &out);
void onPrimaryNews(ProxyState &state, const PeerMessage &message, const PrimaryNews &news, Time now, Effects &out);
void onTermHandover(ProxyState &state, const PeerMessage &message, const TermHandover &handover, Time now, Effects &out);

/** The owners in the order in which they try: those in another zone than the primary first, since its zone may be lost as a whole. */
std::vector<VmInfo> failoverRanking(const ProxyState &state, const GroupOwner &owner);
/** Takes \p member as primary of \p term, which is higher than the one known or equal with no primary known. */
void adoptPrimary(ProxyState &state, GroupOwner &owner, Term term, const MemberId &member, Time now, Effects &out);
/** Asks for a call of reviewPrimary() at \p at. */
void wakeFailover(ProxyState &state, GroupOwner &owner, Time at);

} // namespace Figward
