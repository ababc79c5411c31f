/** \file
 * Defines when an owner suspects that its group needs another primary, and how it confirms the suspicion with the other owners.
 *
 * Missed probes alone prove little, as the fault may lie between this owner and the primary. The owner therefore asks the other owners, which probe the primary
 * themselves. A primary that another owner reaches is not replaced. If no owner answers, this owner waits longer before it acts on its own view.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "Units.h"

#include <map>
#include <optional>

namespace Figward {

struct ProxyState;
struct GroupOwner;
struct OutstandingControl;

/** Why a group needs another primary. */
enum class FailoverCause {
    None,
    PrimaryLost, ///< The primary missed too many probes.
    NoPrimary, ///< No member claims to be primary, and each has either reported its status or missed too many probes.
    StalledFailover, ///< A member is fenced above the primary's term: nothing can be acknowledged until a failover completes.
    PrimaryLeaving, ///< The configuration marks the primary as leaving.
};

/** What the other owners have reported about the primary. */
enum class PeerReport {
    None,
    PrimaryUnseen,
    PrimarySeen,
};

/** An owner's suspicion that the current primary must be replaced. */
struct Suspicion
{
    FailoverCause cause_ = FailoverCause::None;
    Term term_; ///< Term of the primary, or of the fence, that the cause refers to.
    Time since_;
    Time startAt_; ///< No attempt before this time, so that owners of a lower rank leave the first one time to act.
    std::optional<Time> firstAskedAt_;
    Time lastAskedAt_;
    PeerReport peerReport_ = PeerReport::None;
};

/** A query of another owner that waits for the result of a probe. */
struct PendingPeerReport
{
    VmInfo requester_;
    Term term_;
};

/** Queries of other owners by the probe whose result answers them. */
using PendingPeerReports = std::map<ControlId, PendingPeerReport>;

/** Returns why the group needs another primary according to the current view, or None. */
FailoverCause failoverCause(const ProxyState &state, const GroupOwner &owner);
/** Updates the suspicion; a new cause restarts its timing. Returns whether the suspicion changed. */
bool updateSuspicion(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Whether a failover for \p cause needs the report of another owner. */
bool needsPeerReport(FailoverCause cause);
/** Asks all other owners whether they reach the primary. */
void requestPeerReports(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Handles another owner's query: probes the primary, or replies with a more recent primary if one is known. */
void answerSuspicionQuery(ProxyState &state, GroupOwner &owner, const VmInfo &requester, const SuspicionQuery &query, Time now, Effects &out);
/** Answers a pending query after the probe sent for it has ended. */
void sendPendingPeerReport(ProxyState &state, GroupOwner &owner, const ControlAnswer &answer, Effects &out);
/** Records another owner's report about the primary. */
void recordPeerReport(const ProxyState &state, GroupOwner &owner, VmId from, const SuspicionAnswer &answer);

} // namespace Figward
