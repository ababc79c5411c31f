/** \file
 * Defines the trimming of idempotency keys, so that a group does not keep them indefinitely.
 *
 * All keys of a session that started longer ago than policy.keyRetention_ are removed together. The group keeps only the start time before which sessions have
 * been trimmed, and refuses every key of an older session. A trimmed key is therefore never mistaken for a new one and run a second time.
 */
#pragma once

#include "Effect.h"
#include "Event.h"
#include "TimerService.h"
#include "Units.h"

namespace Figward {

struct ProxyState;

/** Relates the process's monotonic time to the wall clock at its start. The wall clock is only used for keys that are hours old. */
struct WallClock
{
    Time startedAt_;
    std::uint64_t startedSeconds_ = 0; ///< Seconds since the Unix epoch at startedAt_; zero if not known.
};

/** Seconds since the Unix epoch at \p now, or zero if the wall clock is not known. */
std::uint64_t unixSeconds(const ProxyState &state, Time now);
/** Starts periodic trimming for the groups of which this proxy is the first owner. */
void startKeyTrim(ProxyState &state, const Started &started, Time now);
/** Handler of KeyTrim timers. */
void onKeyTrimTimer(ProxyState &state, const TimerTag &tag, Time now, Effects &out);

} // namespace Figward
