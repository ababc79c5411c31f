/** \file
 * Defines the requirements of a session's statement on the member that runs it, as functions of session and group state only.
 */
#pragma once

#include "SessionState.h"

namespace Figward {

/** Whether \p statement writes. */
bool isWrite(const ClientSession &session, const ClientStatement &statement);
/** Whether running the statement may change the database, so that without an answer its outcome is unknown. */
bool changesDatabase(const ClientSession &session, const StatementRun &run);
/** Whether only the primary may run the statement. */
bool needsPrimary(const ClientSession &session, const StatementRun &run);
/** Log position that a read of the session must include; absent if it is unknown, so that only the primary may serve the read. */
std::optional<LogPoint> requiredReadPosition(const ClientSession &session, const SessionGroup &group, Time now);
/** Whether the current statement may be run again from its beginning. */
bool isStatementRetryable(const ClientSession &session);

} // namespace Figward
