/** \file
 * Defines samples of a primary's log position, from which a read learns what it must include to be no older than it may be.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <deque>
#include <optional>

namespace Figward {

/** At sentAt_, no commit above position_ had been acknowledged. */
struct PositionSample
{
    Time sentAt_;
    LogPoint position_;
};

/** Samples of one group, oldest first, of one term. */
struct PositionSamples
{
    std::deque<PositionSample> samples_;
};

/** Adds a sample; one of an older term than the newest is dropped, one of a newer term drops the others. */
void addSample(PositionSamples &samples, const PositionSample &sample);
/** The lowest position that a read at \p now must include so that it is no older than \p maxStaleness; nothing if no sample proves one. */
std::optional<LogPoint> floorFor(const PositionSamples &samples, Duration maxStaleness, Time now);
/** The newest sample, if any. */
std::optional<PositionSample> newestSample(const PositionSamples &samples);

} // namespace Figward
