/** \file
 * Defines the graceful shutdown of a process that serves sessions: every statement is answered, and clients are moved to other VMs between requests.
 */
#pragma once

#include "Effect.h"
#include "SessionState.h"

namespace Figward {

struct ProxyState;

/** Times of the steps of a shutdown, since it was requested. */
struct DrainSchedule
{
    Duration sessionsClose_{}; ///< Sessions are closed between requests from here on.
    Duration operationsEnd_{}; ///< No new operation is started; open transactions go on.
    Duration transactionsEnd_{}; ///< No statement of an open transaction is started either.
    Duration exit_{}; ///< The statements still in progress are answered, and the process exits.
};

/** The schedule of a shutdown that must be complete after \p drainTime, when the platform kills the process. */
DrainSchedule drainSchedule(Duration drainTime);

/** Starts the shutdown: the platform is told to send no new clients, and existing sessions continue. */
void startSessionDrain(ProxyState &state, Time now, Effects &out);
/** Closes idle sessions during shutdown or while the zone is cut off. Ends the process when no session is left or the drain time has passed. */
void reviewSessionDrain(ProxyState &state, Time now, Effects &out);

/** Whether a shutdown has reached the step at which no new operation and no new session is accepted. */
bool refusesOperations(const SessionServiceState &sessions, Time now);
/** Refuses the current statement of \p session if a shutdown leaves it too little time. Returns true if it was refused. */
bool refuseIfDraining(ProxyState &state, ClientSession &session, Time now, Effects &out);
/** Marks \p session as told that this VM shuts down, so that it is closed as soon as its client has all answers. */
void markRefusedByDrain(SessionServiceState &sessions, ClientSession &session, Time now);
/** Closes the sessions that were marked and whose clients have all answers. */
void closeRefusedSessions(SessionServiceState &sessions, Time now, Effects &out);
/** Text of the refusals for clients. */
std::string drainRefusalText();

} // namespace Figward
