#include "LogLine.h"
#include "LogWriter.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fcntl.h>
#include <gmock/gmock.h>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace Figward;
using namespace testing;

namespace {

using Clock = std::chrono::steady_clock;

/** A pipe; both ends are closed by the destructor. */
struct Pipe
{
    Pipe()
    {
        EXPECT_EQ(pipe(ends_.data()), 0);
    }

    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    ~Pipe()
    {
        closeReader();
        close(ends_[1]);
    }

    void closeReader()
    {
        if (ends_[0] >= 0) {
            close(std::exchange(ends_[0], -1));
        }
    }

    /** Reads and parses all lines until the pipe has been empty for 200 ms. */
    [[nodiscard]] std::vector<LogLine> drain() const
    {
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 65536> part{};
        // The writer polls a full pipe every 50 ms.
        for (int emptyReads = 0; emptyReads < 20; ++emptyReads) {
            for (ssize_t size = read(ends_[0], part.data(), part.size()); size > 0; size = read(ends_[0], part.data(), part.size())) {
                text.append(part.data(), static_cast<std::size_t>(size));
                emptyReads = 0;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        std::vector<LogLine> lines;
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);) {
            if (std::optional<LogLine> read = parseLogLine(line)) {
                lines.push_back(*std::move(read));
            } else {
                ADD_FAILURE() << "not a log line: " << line;
            }
        }
        return lines;
    }

    std::array<int, 2> ends_{-1, -1};
};

std::size_t countOf(const std::vector<LogLine> &lines, LogNumber number)
{
    return static_cast<std::size_t>(std::ranges::count(lines, static_cast<int>(number), &LogLine::number_));
}

/** Returns the sum of the dropped lines that the LinesDropped events in \p lines report. */
std::uint64_t reportedDrops(const std::vector<LogLine> &lines)
{
    std::uint64_t sum = 0;
    for (const LogLine &line : lines) {
        if (line.number_ == static_cast<int>(LogNumber::LinesDropped)) {
            sum += std::stoull(line.fields_.at(0).value_);
        }
    }
    return sum;
}

const std::vector<LogField> fields{{"id", "5c0e7a21d94b36f8"}, {"reason", std::string(200, 'r')}};

} // namespace

// Nobody reads the log while the process logs a hundred times as much as usual. Writing a line must not block: when the pipe (64 KiB) and the buffer (four
// times as much) are full, lines are dropped and counted. Important lines are still accepted when ordinary ones are dropped.
TEST(LogIsNotRead, nothingWaitsAndDropsAreCounted)
{
    const Pipe pipe;
    LogWriter log("proxy-1", pipe.ends_[1], LogLevel::Info);
    constexpr unsigned lines = 100000;
    log.setLimits({.linesPerSecond_ = lines, .burst_ = lines});
    const auto start = Clock::now();
    for (unsigned line = 0; line < lines; ++line) {
        log.write(LogNumber::StatementDone, fields);
    }
    const auto taken = Clock::now() - start;
    EXPECT_LT(taken / lines, std::chrono::microseconds(200));
    const std::uint64_t ordinaryDropped = log.droppedLines();
    EXPECT_GT(ordinaryDropped, lines / 2);
    log.write(LogNumber::StatementRefused, fields);
    EXPECT_EQ(log.droppedLines(), ordinaryDropped) << "the buffer must have room for important lines";
    const std::vector<LogLine> written = pipe.drain();
    EXPECT_EQ(countOf(written, LogNumber::StatementRefused), 1U);
    EXPECT_EQ(countOf(written, LogNumber::StatementDone) + ordinaryDropped, lines);
    // After the pipe has been read, the next line is preceded by a report of the number of dropped lines by kind.
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    log.write(LogNumber::ProcessStopped, {});
    const std::vector<LogLine> later = pipe.drain();
    EXPECT_EQ(countOf(later, LogNumber::LinesDropped), 1U);
    EXPECT_EQ(reportedDrops(written) + reportedDrops(later), ordinaryDropped);
}

// The reader of the log has closed the pipe. Writing must not block, and SIGPIPE must not end the process.
TEST(LogIsNotRead, aReaderThatIsGoneEndsNothing)
{
    Pipe pipe;
    LogWriter log("proxy-1", pipe.ends_[1], LogLevel::Info);
    pipe.closeReader();
    for (int line = 0; line < 100; ++line) {
        log.write(LogNumber::StatementRefused, fields);
    }
    const auto start = Clock::now();
    log.flush(std::chrono::seconds(5));
    EXPECT_LT(Clock::now() - start, std::chrono::seconds(4)) << "lines must be discarded when the reader has closed the pipe";
}

// A single cause leads to 5,000 refused statements in a second, at a hundred times the usual load. The log lines for the refused statements are limited, the
// lines about the cause are all written, and a report states the number of dropped lines.
TEST(LogIsNotRead, aFloodOfOneKindLeavesRoomForTheOthers)
{
    LogBudget budget;
    const Time start{std::chrono::seconds(1000)};
    unsigned refused = 0;
    unsigned causes = 0;
    std::uint64_t reported = 0;
    for (int milli = 0; milli < 1000; ++milli) {
        const Time now = start + std::chrono::milliseconds(milli);
        for (int line = 0; line < 5; ++line) {
            if (tryTakeLine(budget, LogNumber::StatementRefused, now)) {
                ++refused;
            } else {
                countDroppedLine(budget, LogNumber::StatementRefused);
            }
        }
        causes += milli % 100 == 0 && tryTakeLine(budget, LogNumber::PrimaryRevoked, now) ? 1 : 0;
        if (const std::vector<LogField> dropped = takeDroppedReport(budget, now); !dropped.empty()) {
            reported += std::stoull(dropped[0].value_);
        }
    }
    EXPECT_THAT(refused, AllOf(Ge(200U), Le(251U)));
    EXPECT_EQ(causes, 10U);
    const std::vector<LogField> rest = takeDroppedReport(budget, start + std::chrono::seconds(2));
    ASSERT_EQ(rest.size(), 2U);
    EXPECT_EQ(reported + std::stoull(rest[0].value_) + refused, 5000U);
    EXPECT_THAT(rest[1].value_, StartsWith("505:"));
    EXPECT_TRUE(takeDroppedReport(budget, start + std::chrono::seconds(9)).empty());
}
