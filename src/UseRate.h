/** \file
 * Defines a rate of uses as an exponentially decaying average over several seconds.
 */
#pragma once

#include "Units.h"

namespace Figward {

/** Rate of uses. */
struct UseRate
{
    double perSecond_ = 0; ///< Rate at at_; see usesPerSecond().
    Time at_;
};

/** Records one use. */
void recordUse(UseRate &rate, Time now);
/** Records \p count uses. */
void recordUses(UseRate &rate, unsigned count, Time now);
/** The rate at \p now. */
double usesPerSecond(const UseRate &rate, Time now);

} // namespace Figward
