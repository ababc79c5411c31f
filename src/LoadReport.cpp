#include "LoadReport.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <iterator>

namespace Figward {

namespace {

template<typename T>
void append(std::vector<T> &to, const std::vector<T> &from)
{
    std::ranges::copy(from, std::back_inserter(to));
}

std::string describe(const char *what, const std::vector<std::uint32_t> &micros)
{
    const Percentiles p = percentiles(micros);
    return absl::StrFormat("%s: %d done, p50 %.2f ms, p95 %.2f ms, p99 %.2f ms, max %.2f ms\n",
                           what,
                           micros.size(),
                           p.p50_ / 1000.0,
                           p.p95_ / 1000.0,
                           p.p99_ / 1000.0,
                           p.max_ / 1000.0);
}

} // namespace

void merge(LoadRecords &to, const LoadRecords &from)
{
    append(to.writes_, from.writes_);
    append(to.readMicros_, from.readMicros_);
    append(to.writeMicros_, from.writeMicros_);
    to.statements_ += from.statements_;
    to.reads_ += from.reads_;
    to.replicaReads_ += from.replicaReads_;
    to.staleReads_ += from.staleReads_;
    to.notRun_ += from.notRun_;
    to.unknown_ += from.unknown_;
    for (const auto &[proxy, count] : from.cutByProxy_) {
        to.cutByProxy_[proxy] += count;
    }
    for (const auto &[error, count] : from.errors_) {
        to.errors_[error] += count;
    }
}

Percentiles percentiles(std::vector<std::uint32_t> samples)
{
    if (samples.empty()) {
        return {};
    }
    std::ranges::sort(samples);
    const auto at = [&](std::size_t percent) { return samples[(samples.size() - 1) * percent / 100]; };
    return {at(50), at(95), at(99), samples.back()};
}

std::uint64_t acknowledgedWrites(const LoadRecords &records)
{
    return static_cast<std::uint64_t>(std::ranges::count(records.writes_, Outcome::Done, &WriteRecord::outcome_));
}

std::chrono::milliseconds longestStall(const LoadRecords &records, const GroupId &group, LoadClock::time_point from, LoadClock::time_point until)
{
    std::vector<LoadClock::time_point> times{from};
    for (const WriteRecord &write : records.writes_) {
        if (write.group_ == group && write.outcome_ == Outcome::Done && write.ended_ > from && write.ended_ <= until) {
            times.push_back(write.ended_);
        }
    }
    times.push_back(until);
    std::ranges::sort(times);
    LoadClock::duration longest{};
    for (std::size_t i = 1; i < times.size(); ++i) {
        longest = std::max(longest, times[i] - times[i - 1]);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
}

std::string describe(const LoadRecords &records)
{
    std::string text = absl::StrCat(records.statements_, " statements\n");
    text += describe("reads", records.readMicros_);
    text += describe("writes", records.writeMicros_);
    const double share = records.reads_ == 0 ? 0 : 100.0 * static_cast<double>(records.replicaReads_) / static_cast<double>(records.reads_);
    absl::StrAppendFormat(&text, "reads served by replicas: %.1f %%, stale: %d\n", share, records.staleReads_);
    absl::StrAppendFormat(&text, "answers not run: %d, unknown: %d\n", records.notRun_, records.unknown_);
    for (const auto &[error, count] : records.errors_) {
        absl::StrAppend(&text, "  ", std::string(toString(error)), ": ", count, "\n");
    }
    return text;
}

} // namespace Figward
