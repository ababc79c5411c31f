/** \file
 * Defines the demonstration: a mixed load on a DemoSite while faults happen on a stated schedule, and the check of what callers were told
 * against the logs of the groups.
 */
#pragma once

#include "DemoSite.h"
#include "LoadPlan.h"
#include "LoadReport.h"

#include <chrono>
#include <ostream>
#include <string>

namespace Figward {

/** What a demonstration is run with. */
struct DemoOptions
{
    std::chrono::seconds length_{20}; ///< Of the load.
    std::string logPrefix_;
    std::ostream *narration_ = nullptr; ///< Gets a line for each step; may be null.
};

/** What a demonstration showed. Counters of the proxies play no part in it. */
struct DemoResult
{
    LoadRecords records_;
    std::chrono::milliseconds failoverGap_{}; ///< The longer one of the two failovers.
    std::chrono::milliseconds failoverGapPlatformUp_{};
    std::chrono::milliseconds failoverGapPlatformDown_{};
    std::chrono::milliseconds configSpread_{}; ///< From the start of the apply until the last proxy worked by it.
    bool configurationAccepted_ = false;
    std::uint64_t lostWrites_ = 0; ///< Acknowledged and not in the log.
    std::uint64_t doubledWrites_ = 0; ///< In the log twice.
    std::uint64_t ranThoughNotRun_ = 0; ///< In the log though the caller was told that it did not run.
    std::uint64_t cutByDrain_ = 0; ///< Requests at the draining proxy that got no answer.
};

/** Unavailable and the like if the site cannot be started. */
absl::StatusOr<DemoResult> runDemo(const DemoOptions &options);
/** Whether each promise held. */
bool promisesKept(const DemoResult &result);
/** Adds the writes of \p records to group \p group that \p log contradicts to \p result. */
void compareWithLog(const GroupId &group, const std::vector<Standin::LogEntry> &log, DemoResult &result);

} // namespace Figward
