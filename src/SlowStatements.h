/** \file
 * Defines how an owner handles statements that remain unanswered: it probes the members, moves reads to other members and fails overdue statements.
 */
#pragma once

#include "Effect.h"
#include "Units.h"

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** Checks all statements in flight; called periodically. */
void handleSlowStatements(ProxyState &state, GroupOwner &owner, Time now, Effects &out);

} // namespace Figward
