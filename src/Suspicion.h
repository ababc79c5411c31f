/** \file
 * Defines when an owner holds that its group needs another primary, and the second owner's word on it.
 *
 * Missed probes alone prove little: the fault may lie between this owner and the primary. So the owner asks the others, which probe the primary
 * themselves. A primary that one of them sees is left alone; without any answer the owner waits longer before it goes on its own view.
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
    PrimaryLost, ///< It missed too many probes.
    NoPrimary, ///< No member claims to be primary, and all have been heard or missed.
    StalledFailover, ///< A member is fenced above the primary's term: nothing can be acknowledged until a failover ends.
    PrimaryLeaving, ///< The configuration says that the primary's upstream leaves.
};

/** What the other owners have said. */
enum class SecondWord {
    None,
    PrimaryUnseen,
    PrimarySeen,
};

/** What an owner holds against the present primary. */
struct Suspicion
{
    FailoverCause cause_ = FailoverCause::None;
    Term term_; ///< Of the primary, or the fence, that the cause is about.
    Time since_;
    Time startAt_; ///< No attempt before this: owners of a lower rank leave the first one time to act.
    std::optional<Time> firstAskedAt_;
    Time lastAskedAt_;
    SecondWord word_ = SecondWord::None;
};

/** A query of another owner that waits for the answer to a probe. */
struct PendingWord
{
    VmInfo asker_;
    Term term_;
};

/** Another owner's queries, by the probe that will answer them. */
using PendingWords = std::map<ControlId, PendingWord>;

/** What is wrong with the group's primary by what is known now. */
FailoverCause failoverCause(const ProxyState &state, const GroupOwner &owner);
/** Brings the suspicion up to date; a new cause starts the clock. Returns whether it changed. */
bool updateSuspicion(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Whether a cause of this kind is another owner's to confirm. */
bool needsSecondWord(FailoverCause cause);
/** Asks all other owners for their word. */
void askSecondWord(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Another owner asks: probes the primary for it, or answers with newer news. */
void answerSuspicionQuery(ProxyState &state, GroupOwner &owner, const VmInfo &asker, const SuspicionQuery &query, Time now, Effects &out);
/** The probe sent for another owner's query has ended. */
void answerPendingWord(ProxyState &state, GroupOwner &owner, const ControlAnswer &answer, Effects &out);
/** Another owner's word. */
void takeSecondWord(const ProxyState &state, GroupOwner &owner, VmId from, const SuspicionAnswer &answer);

} // namespace Figward
