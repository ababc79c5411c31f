/** \file
 * Defines one attempt to replace a primary: a majority of members is fenced at a term of this owner's block, and the fenced member with the longest
 * log is promoted.
 *
 * Any write that was acknowledged is held by a majority, so at least one fenced member has it, and so has the one with the greatest (log term, position).
 * From the fence on, the majority takes nothing from a lower term, so nothing more can be acknowledged there, even by a primary that knows of no fence.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "GroupView.h"
#include "Units.h"

#include <map>
#include <optional>

namespace Figward {

struct ProxyState;
struct GroupOwner;
struct OutstandingControl;

/** An attempt under way. */
struct FencingAttempt
{
    Term term_;
    Time startedAt_;
    std::map<MemberId, LogPoint> fenced_; ///< Logs of the members that are fenced at term_; these logs stay as they are.
    std::optional<Time> majorityAt_;
    std::optional<MemberId> chosen_; ///< Being promoted.
    unsigned promotions_ = 0; ///< Promote calls sent.
};

/** Why an attempt ended without a promotion. */
enum class AbandonReason {
    Overtaken, ///< A member is fenced at a higher term.
    TimedOut,
    Refused,
    NoAnswer, ///< The chosen member did not answer.
};

/** Starts an attempt at \p term. */
void startAttempt(ProxyState &state, GroupOwner &owner, Term term, Time now, Effects &out);
/** Takes the step of the attempt that is due at \p now. */
void reviewAttempt(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** A fence of this owner's was answered, or was not. */
void onFenceAnswered(ProxyState &state, GroupOwner &owner, const OutstandingControl &call, const ControlAnswer &answer, Time now, Effects &out);
/** Ends the attempt without a promotion; the next one waits for a backoff. */
void abandonAttempt(ProxyState &state, GroupOwner &owner, AbandonReason reason, Time now, Effects &out);
/** The member to promote: of the fenced ones the one whose log is the greatest; members that leave only if the others are no majority. */
MemberId chooseSuccessor(const GroupView &view, const FencingAttempt &attempt);

} // namespace Figward
