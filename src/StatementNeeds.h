/** \file
 * Defines what a session's statement asks of the member that runs it, from plain structs.
 */
#pragma once

#include "SessionState.h"

namespace Figward {

/** Whether \p statement writes. */
bool isWrite(const ClientSession &session, const ClientStatement &statement);
/** Whether the answer may change the database, so that a missing one leaves it open whether it did. */
bool changesDatabase(const ClientSession &session, const StatementRun &run);
/** Whether only the primary may run it. */
bool needsPrimary(const ClientSession &session, const StatementRun &run);
/** What a read of the session must include; nothing if that cannot be told, and then only the primary will do. */
std::optional<LogPoint> readFloor(const ClientSession &session, const SessionGroup &group, Time now);
/** Whether the present statement may be run again from its beginning. */
bool mayRunAgain(const ClientSession &session);

} // namespace Figward
