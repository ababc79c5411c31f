/** \file
 * Defines what an owner does about statements that stay unanswered: ask after the member, take reads elsewhere, give up what is overdue.
 */
#pragma once

#include "Effect.h"
#include "Units.h"

namespace Figward {

struct ProxyState;
struct GroupOwner;

/** Looks after all statements under way; called regularly. */
void tendSlowStatements(ProxyState &state, GroupOwner &owner, Time now, Effects &out);

} // namespace Figward
