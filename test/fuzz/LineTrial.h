/** \file
 * Defines a trial of database sessions: clients send random statements while members, VMs, the store and the links between them fail.
 */
#pragma once

#include "support/SessionWorld.h"

namespace Figward::Testing {

/** Options of a trial. */
struct LineTrialOptions
{
    SessionWorld::BeforeEvent beforeEvent_; ///< May alter a proxy's state, to disable a safeguard.
    bool resets_ = false; ///< Connections to members are also reset, about twice a second.
};

/**
 * Runs a trial of 20 s of virtual time from \p seed and returns the violated guarantees.
 * If FIGWARD_FUZZ_STORY is set in the environment, prints the events.
 */
std::vector<std::string> playLineTrial(std::uint64_t seed, const LineTrialOptions &options = {});

} // namespace Figward::Testing
