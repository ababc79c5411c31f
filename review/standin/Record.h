/** \file
 * Defines the record of a run: what was sent, answered and run, one line each, with the milliseconds since the start.
 */
#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

namespace Review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Writes the record of one run to a file. */
class Record
{
public:
    explicit Record(const std::string &file)
        : out_(file)
    {
    }

    /** Milliseconds since the start of the run. */
    [[nodiscard]] double now() const
    {
        return std::chrono::duration<double, std::milli>(Clock::now() - start_).count();
    }

    void line(const std::string &text)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%10.1f ", now());
        out_ << time << text << std::endl;
    }

private:
    std::ofstream out_;
    Clock::time_point start_ = Clock::now();
};

} // namespace Review
