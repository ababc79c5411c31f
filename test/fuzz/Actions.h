/** \file
 * Defines the generator of trials: RapidCheck's stateful commands, each of which is one Action.
 */
#pragma once

#include "fuzz/Trial.h"

#include <functional>
#include <string>

namespace Figward::Testing {

/** The range of seeds, the number of trials per seed, and the maximum length of a trial. */
struct FuzzRun
{
    std::uint64_t firstSeed_ = 1;
    std::uint64_t seeds_ = 1;
    int trialsPerSeed_ = 10;
    int maxActions_ = 120; ///< Maximum number of actions in a trial.
    bool shrink_ = true;
};

/** A fault found by fuzzing. */
struct FuzzFinding
{
    std::uint64_t seed_ = 0;
    std::string report_; ///< The shortest trial that reproduces the fault, and the violated guarantee.
};

/** Runs trials, each prepared by \p prepare, until one violates a guarantee. Adds the results of the trials to \p counts. */
std::optional<FuzzFinding> fuzz(const FuzzRun &run, FuzzCounts &counts, const std::function<void(Trial &)> &prepare = {});
/** "trials=... done=..." */
std::string toString(const FuzzCounts &counts);

} // namespace Figward::Testing
