/** \file
 * Defines one attempt to replace a primary: a majority of members is fenced at a term from this owner's blocks, and the fenced member with the longest log is
 * promoted.
 *
 * A majority holds every acknowledged write, so at least one fenced member has it, and so does the one with the greatest (log term, position). Once fenced, the
 * majority accepts nothing from a lower term. Nothing more can be acknowledged in such a term, even by a primary that has not received the fence.
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

/** An attempt in progress. */
struct FencingAttempt
{
    Term term_;
    Time startedAt_;
    std::map<MemberId, LogPoint> fenced_; ///< Log positions of the members fenced at term_; these logs do not change any more.
    std::optional<Time> majorityAt_;
    std::optional<MemberId> chosen_; ///< Member being promoted.
    unsigned promotions_ = 0; ///< Number of Promote calls sent.
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
/** Takes the step of the attempt that is due at \p now, if any. */
void reviewAttempt(ProxyState &state, GroupOwner &owner, Time now, Effects &out);
/** Handles the result of a Fence call, including a missing answer. */
void onFenceAnswered(ProxyState &state, GroupOwner &owner, const OutstandingControl &call, const ControlAnswer &answer, Time now, Effects &out);
/** Ends the attempt without a promotion; the next attempt waits for a backoff. */
void abandonAttempt(ProxyState &state, GroupOwner &owner, AbandonReason reason, Time now, Effects &out);
/**
 * Returns the member to promote: the fenced member with the greatest log. A member that leaves is chosen only if the fenced members that stay are not a
 * majority.
 */
MemberId chooseSuccessor(const GroupView &view, const FencingAttempt &attempt);

} // namespace Figward
