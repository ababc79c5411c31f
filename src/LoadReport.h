/** \file
 * Defines the results that callers of a generated load received, and the statistics computed from them.
 */
#pragma once

#include "Errors.h"
#include "Ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Figward {

/** Clock of the load generator. */
using LoadClock = std::chrono::steady_clock;

/** One write of value_ under the key name_. Only one session writes a key, with values that increase by one. */
struct WriteRecord
{
    GroupId group_;
    std::string name_;
    std::uint64_t value_ = 0;
    Outcome outcome_ = Outcome::Unknown; ///< The last outcome that the caller received.
    LoadClock::time_point ended_;
};

/** Results that the callers of one or more sessions recorded. */
struct LoadRecords
{
    std::vector<WriteRecord> writes_;
    std::vector<std::uint32_t> readMicros_; ///< Duration of each read that was done.
    std::vector<std::uint32_t> writeMicros_; ///< Duration of each write that was done at the first attempt.
    std::uint64_t statements_ = 0;
    std::uint64_t reads_ = 0; ///< Reads that were done.
    std::uint64_t replicaReads_ = 0;
    std::uint64_t staleReads_ = 0; ///< Reads that lacked a write acknowledged to the same session.
    std::uint64_t notRun_ = 0; ///< Answers with the outcome "not run".
    std::uint64_t unknown_ = 0; ///< Answers with the outcome "unknown", and requests without an answer.
    std::map<std::size_t, std::uint64_t> cutByProxy_; ///< Requests to each proxy that ended without an answer.
    std::map<ErrorKind, std::uint64_t> errors_; ///< Number of error answers by kind.
};

/** Adds \p from to \p to. */
void merge(LoadRecords &to, const LoadRecords &from);

/** Percentiles of the time to answer, in microseconds. */
struct Percentiles
{
    std::uint32_t p50_ = 0;
    std::uint32_t p95_ = 0;
    std::uint32_t p99_ = 0;
    std::uint32_t max_ = 0;
};

/** Percentiles of \p samples; all zero if there are none. */
Percentiles percentiles(std::vector<std::uint32_t> samples);
/** Number of writes that were done. */
std::uint64_t acknowledgedWrites(const LoadRecords &records);
/** The longest time between \p from and \p until in which no write to \p group was acknowledged. */
std::chrono::milliseconds longestStall(const LoadRecords &records, const GroupId &group, LoadClock::time_point from, LoadClock::time_point until);
/** The statistics as readable text, one to a line. */
std::string describe(const LoadRecords &records);

} // namespace Figward
