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

/** The newest sample that was read before \p time, if any. */
std::optional<LogPoint> positionBefore(const PositionSamples &samples, Time time);

/** Highest log position that a group's primary is known to have reached in one epoch. Within an epoch it only rises, unless the primary loses its log. */
struct PrimaryProgress
{
    std::uint64_t epoch_ = 0;
    std::optional<LogPoint> reached_;
};
/** Records a position of the primary of \p epoch. */
void recordProgress(PrimaryProgress &progress, std::uint64_t epoch, const LogPoint &position);
/** Position that the primary of \p epoch has reached; absent if none is known. A new primary may begin lower than the previous one ended. */
std::optional<LogPoint> reachedInEpoch(const PrimaryProgress &progress, std::uint64_t epoch);

} // namespace Figward
