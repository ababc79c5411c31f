/** \file
 * Defines what is told of a client's statement: its log line, with what it was decided on, and its figures for the metrics.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Tells how the statement \p run, which is over, ended: with \p reply. */
void tellOutcome(ProxyState &state, const ClientSession &session, const StatementRun &run, const SessionReply &reply, Time now, Effects &out);
/** Tells that the statement under way goes on at another member, or later, and why. */
void tellRetry(ProxyState &state, const ClientSession &session, const std::string &reason, Time now, Effects &out);

} // namespace Figward
