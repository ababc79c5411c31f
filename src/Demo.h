/** \file
 * Defines the demonstration: a mixed load on a DemoSite while faults are injected on a fixed schedule, and the comparison of the outcomes that
 * callers received with the logs of the groups.
 */
#pragma once

#include "DemoSite.h"
#include "LoadPlan.h"
#include "LoadReport.h"

#include <chrono>
#include <ostream>
#include <string>

namespace Figward {

/** Options of a demonstration. */
struct DemoOptions
{
    std::chrono::seconds length_{20}; ///< Duration of the load.
    std::string logPrefix_;
    std::ostream *progressOutput_ = nullptr; ///< Receives a line for each step of the schedule; may be null.
};

/** Results of a demonstration. They come from the callers and the logs of the groups only, not from counters of the proxies. */
struct DemoResult
{
    LoadRecords records_;
    std::chrono::milliseconds failoverGap_{}; ///< The longer of the gaps of the two failovers.
    std::chrono::milliseconds failoverGapPlatformUp_{};
    std::chrono::milliseconds failoverGapPlatformDown_{};
    std::chrono::milliseconds configSpread_{}; ///< Time from the start of the apply until the configuration was active at every proxy.
    bool configurationAccepted_ = false;
    std::uint64_t lostWrites_ = 0; ///< Acknowledged writes that are missing from the log.
    std::uint64_t doubledWrites_ = 0; ///< Writes that are in the log more than once.
    std::uint64_t ranThoughNotRun_ = 0; ///< Writes in the log whose caller received the outcome "not run".
    std::uint64_t cutByDrain_ = 0; ///< Requests to the draining proxy that received no answer.
};

/** Runs the demonstration; returns an error, such as Unavailable, if the site cannot be started. */
absl::StatusOr<DemoResult> runDemo(const DemoOptions &options);
/** Whether \p result shows no violation of the guarantees, and the configuration was accepted. */
bool promisesKept(const DemoResult &result);
/** Counts in \p result those of its recorded writes to \p group whose outcome contradicts \p log. */
void compareWithLog(const GroupId &group, const std::vector<Standin::LogEntry> &log, DemoResult &result);

} // namespace Figward
