/** \file
 * Defines the replacement of a failed primary: which owner starts it and when. Its steps are defined in Suspicion.h, Fencing.h and Promotion.h.
 *
 * Safety depends on the members alone: once a majority is fenced at the term of a failover, no lower term can acknowledge anything, and no two owners share a
 * term. The delays defined here only make a failover fast and avoid competing ones. An owner that was paused, cut off or misinformed at any point causes no
 * more harm than a needless promotion.
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

/** Failover state of one group. */
struct FailoverState
{
    unsigned rank_ = 0; ///< Rank among the owners, those in another zone than the primary first; rank 0 tries first and probes at the short interval.
    std::vector<TermBlock> blocks_; ///< Unused terms.
    std::vector<TermBlock> receivedBlocks_; ///< Blocks received from draining proxies, in the order of their arrival.
    Term newestGrant_; ///< First term of the latest block adopted from the group record.
    GroupRecordState record_;
    Suspicion suspicion_;
    PendingPeerReports pendingPeerReports_;
    std::optional<FencingAttempt> attempt_;
    unsigned failures_ = 0; ///< Consecutive attempts that failed or that another owner's report prevented.
    unsigned unconfirmedAttempts_ = 0; ///< Recent attempts made without a report of another owner.
    Time lastUnconfirmedAt_; ///< Time of the last unconfirmed attempt.
    Time retryAt_; ///< No attempt is made before this time.
    Time primarySince_; ///< When the current primary became known to this owner.
    std::map<MemberId, RejoinState> rejoins_;
    std::optional<Time> reviewAt_; ///< Time of the earliest armed timer.
};

/** Starts to monitor the primary of a group that this proxy now owns. */
void startFailover(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Handles a change of the members' view or a missed probe: updates the suspicion and takes the next step that is due. */
void reviewPrimary(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Periodic maintenance with each probe round: the group record on the platform, members that rejoin, and this owner's rank. */
void maintainFailover(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Handler of Failover and GroupRecord timers. */
void onFailoverTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);
/** Handles the platform's answer to a call about the record of call.group_. */
void onGroupRecordAnswer(ProxyState &state, const OutstandingCall &call, const PlatformAnswer &answer, Time now, Effects &out);
void onSuspicionQuery(ProxyState &state, const PeerMessage &message, const SuspicionQuery &query, Time now, Effects &out);
void onSuspicionAnswer(ProxyState &state, const PeerMessage &message, const SuspicionAnswer &answer, Time now, Effects &out);
void onPrimaryNews(ProxyState &state, const PeerMessage &message, const PrimaryNews &news, Time now, Effects &out);
void onTermHandover(ProxyState &state, const PeerMessage &message, const TermHandover &handover, Time now, Effects &out);

/** The owners in the order in which they attempt a failover. Those in another zone than the primary come first, as the primary's whole zone may have failed. */
std::vector<VmInfo> failoverRanking(const ProxyState &state, const GroupOwner &owner);
/** Records \p member as primary of \p term. The term must be higher than the known one, or equal to it with no primary known. */
void adoptPrimary(ProxyState &state, GroupOwner &owner, Term term, const MemberId &member, Time now, Effects &out);
/** Schedules a call of reviewPrimary() at \p at. */
void scheduleFailoverReview(ProxyState &state, GroupOwner &owner, Time at);

} // namespace Figward
