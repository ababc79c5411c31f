/** \file
 * Defines samples of a primary's log position, which determine the position that a read must include to meet its staleness bound.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <deque>
#include <optional>

namespace Figward {

/** A log position of a primary: at sentAt_, no commit above position_ had been acknowledged. */
struct PositionSample
{
    Time sentAt_;
    LogPoint position_;
};

/** Samples of one group, all of the same term, oldest first. */
struct PositionSamples
{
    std::deque<PositionSample> samples_;
};

/** Adds a sample. A sample of an older term than the stored ones is ignored; one of a newer term replaces them. */
void addSample(PositionSamples &samples, const PositionSample &sample);
/** Lowest position that a read at \p now must include to be no older than \p maxStaleness; absent if no sample is recent enough. */
std::optional<LogPoint> requiredPosition(const PositionSamples &samples, Duration maxStaleness, Time now);
/** Newest sample, if there is one. */
std::optional<PositionSample> newestSample(const PositionSamples &samples);

} // namespace Figward
