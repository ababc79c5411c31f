/** \file
 * Defines the generator of trials: RapidCheck's stateful commands, each of which is one Action.
 */
#pragma once

#include "fuzz/Trial.h"

#include <functional>
#include <string>

namespace Figward::Testing {

/** A range of seeds, the trials made from each, and the length of the longest. */
struct FuzzRun
{
    std::uint64_t firstSeed_ = 1;
    std::uint64_t seeds_ = 1;
    int trialsPerSeed_ = 10;
    int longest_ = 120; ///< Actions.
    bool shrink_ = true;
};

/** A fault that was found. */
struct FuzzFinding
{
    std::uint64_t seed_ = 0;
    std::string report_; ///< The shortest trial that shows it, and what was broken.
};

/** Runs trials, each prepared by \p prepare, until one breaks a promise. Adds what the trials showed to \p counts. */
std::optional<FuzzFinding> fuzz(const FuzzRun &run, FuzzCounts &counts, const std::function<void(Trial &)> &prepare = {});
/** "trials=... done=..." */
std::string toString(const FuzzCounts &counts);

} // namespace Figward::Testing
