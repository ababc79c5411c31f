/** \file
 * Defines what callers of a generated load were told, and the figures that follow from it.
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

/** One write: \p value_ was put under \p name_, which only its session writes; its values grow by one. */
struct WriteRecord
{
    GroupId group_;
    std::string name_;
    std::uint64_t value_ = 0;
    Outcome outcome_ = Outcome::Unknown; ///< The last that its caller was told.
    LoadClock::time_point ended_;
};

/** What the callers of some sessions saw. */
struct LoadRecords
{
    std::vector<WriteRecord> writes_;
    std::vector<std::uint32_t> readMicros_; ///< Time of each read that was done.
    std::vector<std::uint32_t> writeMicros_; ///< Time of each write that was done at the first attempt.
    std::uint64_t statements_ = 0;
    std::uint64_t reads_ = 0; ///< Done.
    std::uint64_t replicaReads_ = 0;
    std::uint64_t staleReads_ = 0; ///< Lacked a write that the same session had been told was done.
    std::uint64_t notRun_ = 0; ///< Answers.
    std::uint64_t unknown_ = 0; ///< Answers, and requests without an answer.
    std::map<std::size_t, std::uint64_t> cutByProxy_; ///< Requests to each proxy that ended without an answer.
    std::map<ErrorKind, std::uint64_t> errors_; ///< Answers by kind.
};

/** Adds \p from to \p to. */
void merge(LoadRecords &to, const LoadRecords &from);

/** Times at which a share of the requests was answered, in microseconds. */
struct Percentiles
{
    std::uint32_t p50_ = 0;
    std::uint32_t p95_ = 0;
    std::uint32_t p99_ = 0;
    std::uint32_t max_ = 0;
};

/** Zeros if there are no samples. */
Percentiles percentiles(std::vector<std::uint32_t> samples);
/** Writes done. */
std::uint64_t acknowledgedWrites(const LoadRecords &records);
/** The longest time from \p from on in which no write to \p group was acknowledged, up to the last acknowledged one. */
std::chrono::milliseconds longestStall(const LoadRecords &records, const GroupId &group, LoadClock::time_point from, LoadClock::time_point until);
/** The figures for a person, one a line. */
std::string describe(const LoadRecords &records);

} // namespace Figward
