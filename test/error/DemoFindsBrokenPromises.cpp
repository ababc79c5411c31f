// The demonstration compares the outcomes that callers received with the logs of the groups. If that comparison missed a lost or doubled
// write, a violated guarantee would go unnoticed. Each kind of violation is put into the records here and must be found.

#include "Demo.h"

#include <gtest/gtest.h>

using namespace Figward;

namespace {

const GroupId group("g");
const LoadClock::time_point start{};

WriteRecord wrote(std::uint64_t value, Outcome outcome, std::chrono::milliseconds at = {})
{
    return {group, "caller", value, outcome, start + at};
}

Standin::LogEntry entryOf(const std::string &value)
{
    Standin::LogEntry entry;
    entry.operations_ = {{Standin::OperationKind::Put, "caller", value}};
    return entry;
}

DemoResult compared(const std::vector<WriteRecord> &writes, const std::vector<Standin::LogEntry> &log)
{
    DemoResult result;
    result.configurationAccepted_ = true;
    result.records_.writes_ = writes;
    compareWithLog(group, log, result);
    return result;
}

} // namespace

TEST(DemoFindsBrokenPromises, noneWhereAllAgrees)
{
    const DemoResult result =
        compared({wrote(1, Outcome::Done), wrote(2, Outcome::NotRun), wrote(3, Outcome::Unknown), wrote(4, Outcome::Unknown)}, {entryOf("1"), entryOf("3")});
    EXPECT_TRUE(promisesKept(result));
}

TEST(DemoFindsBrokenPromises, aLostWrite)
{
    const DemoResult result = compared({wrote(1, Outcome::Done), wrote(2, Outcome::Done)}, {entryOf("2")});
    EXPECT_EQ(result.lostWrites_, 1U);
    EXPECT_FALSE(promisesKept(result));
}

TEST(DemoFindsBrokenPromises, aDoubledWrite)
{
    const DemoResult result = compared({wrote(1, Outcome::Unknown)}, {entryOf("1"), entryOf("1")});
    EXPECT_EQ(result.doubledWrites_, 1U);
    EXPECT_FALSE(promisesKept(result));
}

TEST(DemoFindsBrokenPromises, aWriteThatRanThoughItsCallerWasToldOtherwise)
{
    const DemoResult result = compared({wrote(1, Outcome::NotRun)}, {entryOf("1")});
    EXPECT_EQ(result.ranThoughNotRun_, 1U);
    EXPECT_FALSE(promisesKept(result));
}

TEST(DemoFindsBrokenPromises, staleReadsAndCutRequests)
{
    DemoResult stale = compared({}, {});
    stale.records_.staleReads_ = 1;
    EXPECT_FALSE(promisesKept(stale));
    DemoResult cut = compared({}, {});
    cut.cutByDrain_ = 1;
    EXPECT_FALSE(promisesKept(cut));
}

TEST(DemoFindsBrokenPromises, aStallIsTheLongestTimeWithoutAnAcknowledgedWrite)
{
    using std::chrono::milliseconds;
    LoadRecords records;
    records.writes_ = {wrote(1, Outcome::Done, milliseconds(90)),
                       wrote(2, Outcome::Done, milliseconds(110)),
                       wrote(3, Outcome::NotRun, milliseconds(300)),
                       wrote(4, Outcome::Done, milliseconds(500)),
                       wrote(5, Outcome::Done, milliseconds(600))};
    EXPECT_EQ(longestStall(records, group, start + milliseconds(100), start + milliseconds(700)), milliseconds(390));
    EXPECT_EQ(longestStall(records, group, start + milliseconds(100), start + milliseconds(1400)), milliseconds(800));
    EXPECT_EQ(longestStall(records, GroupId("other"), start, start + milliseconds(50)), milliseconds(50));
}
