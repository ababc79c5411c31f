/** \file
 * Defines a trial of database sessions: clients at random while members, VMs, the store and links between them fail.
 */
#pragma once

#include "support/SessionWorld.h"

namespace Figward::Testing {

/** How a trial is played. */
struct LineTrialOptions
{
    SessionWorld::BeforeEvent beforeEvent_; ///< May alter a proxy's state, to take a safeguard away.
    bool resets_ = false; ///< Connections to members are reset as well, some twice a second.
};

/** Plays 20 s of virtual time by \p seed; returns the promises that were broken. FIGWARD_FUZZ_STORY in the environment prints what happened. */
std::vector<std::string> playLineTrial(std::uint64_t seed, const LineTrialOptions &options = {});

} // namespace Figward::Testing
