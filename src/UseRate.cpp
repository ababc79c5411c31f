#include "UseRate.h"

#include <cmath>

namespace Figward {

namespace {

/** Decay time of the average: it follows a burst within seconds, and at one use per second still covers five uses. */
constexpr double decaySeconds = 5;

} // namespace

void recordUse(UseRate &rate, Time now)
{
    recordUses(rate, 1, now);
}

void recordUses(UseRate &rate, unsigned count, Time now)
{
    rate.perSecond_ = usesPerSecond(rate, now) + count / decaySeconds;
    rate.at_ = now;
}

double usesPerSecond(const UseRate &rate, Time now)
{
    const double seconds = std::chrono::duration<double>(now - rate.at_).count();
    return rate.perSecond_ * std::exp(-seconds / decaySeconds);
}

} // namespace Figward
