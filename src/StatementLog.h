/** \file
 * Defines the log lines of a client's statement, including the inputs of its placement, and its record for the metrics.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Logs and counts the completed statement \p run, which was answered with \p reply. */
void logOutcome(ProxyState &state, const ClientSession &session, const StatementRun &run, const SessionReply &reply, Time now, Effects &out);
/** Logs that the current statement is retried at another member or later, and why. */
void logRetry(ProxyState &state, const ClientSession &session, const std::string &reason, Time now, Effects &out);
/** Logs that the process exits while the current statement is in progress, and why the drain had let it through. */
void logUnfinished(ProxyState &state, const ClientSession &session, Time now, Effects &out);

} // namespace Figward
