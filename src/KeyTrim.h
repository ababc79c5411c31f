/** \file
 * Defines the trimming of idempotency keys, so that a group does not keep them for ever.
 *
 * The rule: a session whose start lies further back than policy.keyRetention_ is forgotten as a whole. The group keeps only the time before which it has
 * forgotten, and refuses every key of an older session: what was trimmed is never taken for "not seen yet" and run a second time.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "TimerService.h"
#include "Units.h"

namespace Figward {

struct ProxyState;

/** Ties the process's time to the wall clock of its start. Wall clocks judge only keys that are hours old. */
struct WallClock
{
    Time startedAt_;
    std::uint64_t startedSeconds_ = 0; ///< Seconds since the Unix epoch at startedAt_; zero if not known.
};

/** Seconds since the Unix epoch at \p now, or zero if the wall clock is not known. */
std::uint64_t unixSeconds(const ProxyState &state, Time now);
/** Begins to trim regularly the groups that this proxy is first owner of. */
void startKeyTrim(ProxyState &state, const Started &started, Time now);
/** Subscriber of KeyTrim. */
void onKeyTrimTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);

} // namespace Figward
