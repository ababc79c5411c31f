/** \file
 * Defines the admission of operations by priority while statements wait too long for the members of a group.
 *
 * The leader of the group compares how long the operations of each priority wait with their latency target. While some wait too long, it lowers the admission
 * level of the pool of members that they need, from the least urgent priority upward; once none waits long, it raises the level again. Between the two
 * thresholds the level stays. Each VM admits operations according to the level and refuses the others at once, while their clients still have time to retry.
 *
 * A level takes effect only after a report and an advice. It would oscillate if it fell until the waits are short and rose until they are long again. So it is
 * not lowered while the waits already decrease, and it is not raised to where the pressure last began without a pause, which grows with each relapse. The
 * controller sets the number of operations to admit; the level follows from it and from the demand, which grows when clients retry.
 */
#pragma once

#include "GroupReports.h"

#include <absl/types/span.h>
#include <map>

namespace Figward {

/** Interval at which the leader updates the levels: two reports of each VM. */
constexpr Duration pressureWindow = std::chrono::milliseconds(500);

/** Latency target of the operations of one priority. */
struct PriorityTarget
{
    unsigned priority_ = 0;
    Duration target_{};
};

/** What is known about the operations of one priority in a pool. */
struct PriorityDemand
{
    double perWindow_ = 0; ///< Operations per window, admitted or not, as an exponentially decaying average.
    std::uint64_t started_ = 0; ///< Operations that are not judged yet, because they are too few, and the sum of their waits.
    Duration waitTime_{};
    unsigned windows_ = 0; ///< Number of windows in which these operations were started.
};

/** State of the controller of one pool. */
struct PoolPressure
{
    std::map<unsigned, PriorityDemand> demand_; ///< Keyed by priority.
    std::optional<AdmissionLevel> level_; ///< Absent: all operations are admitted.
    std::optional<double> admitted_; ///< Operations per window that the level is to admit.
    unsigned limit_ = 0; ///< Most urgent priority that waited too long since the level was last absent; only this and less urgent ones are limited.
    double strain_ = 0; ///< Longest mean wait of a priority in the last window, as a fraction of its target.
    bool loweredLast_ = false; ///< The level was lowered at the end of the last window.
    bool rising_ = true; ///< The level was raised, or absent, since it was last lowered.
    std::optional<double> ceiling_; ///< Operations admitted per window when the pressure last began.
    unsigned holdWindows_ = 0; ///< Number of windows for which the level stays just below the ceiling.
    unsigned heldWindows_ = 0; ///< Number of windows for which it has stayed there.
    unsigned windowsWithoutPressure_ = 0;
    std::optional<Time> shedSince_; ///< Time since which the level is present.
    std::optional<Time> loggedAt_; ///< Time at which the start of a level was last logged.
    bool isLogged_ = false; ///< The start of the present level was logged.
};

/** State of the controllers of one group. */
struct GroupPressure
{
    PoolPressure primary_;
    PoolPressure replicas_;
    GroupObservations window_; ///< Increases since the last update.
    Time updateAt_; ///< Time of the next update.
};

/**
 * Updates the level of a pool from the increases of its totals in one window. \p targets has the target of each priority of the service. The level never
 * limits the most urgent priority of which operations arrive, nor a priority that is more urgent than all those that wait too long.
 */
void updateLevel(PoolPressure &pool, absl::Span<const PriorityTotals> increases, absl::Span<const PriorityTarget> targets);

/** Fraction of the operations of \p priority that \p level admits. */
double admittedFraction(const AdmissionLevel &level, unsigned priority);
/** Whether \p level admits an operation of \p priority; \p rank is from 0, which is admitted first, to 1. */
bool isAdmitted(const AdmissionLevel &level, unsigned priority, double rank);

/** Time after which the client of a refused operation is asked to come back. \p random is uniform in 0..1, which spreads the clients. */
Duration shedRetryDelay(const AdmissionLevel &level, double random);

/** Maximum number of connections that this VM opens at the same time to a member under pressure while \p waiting statements wait. */
std::size_t openingsAllowed(std::size_t waiting);
/** Factor by which a VM lengthens the pause between connection attempts at a member after \p refusals as full. */
unsigned fullBackoffFactor(unsigned refusals);

} // namespace Figward
