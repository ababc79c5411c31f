#include "TimeLine.h"

#include <boost/json/parse.hpp>
#include <gmock/gmock.h>
#include <sstream>

using namespace Figward;
using namespace testing;

namespace {

std::string line(const std::string &time, const std::string &body)
{
    return "2026-01-02T03:04:" + time + "Z WARN " + body + "\n";
}

TimeLine mergeLogs(const std::vector<std::string> &logs)
{
    TimeLine timeLine;
    for (std::size_t i = 0; i < logs.size(); ++i) {
        std::istringstream in(logs[i]);
        addLog(timeLine, in, "log" + std::to_string(i));
    }
    orderByTime(timeLine);
    return timeLine;
}

} // namespace

TEST(TimeLineMergesLogs, formattedLinesAreReadBack)
{
    const std::vector<LogField> fields{{"group", "g 1"}, {"empty", ""}, {"text", "a=\"b\"\\\n\x01"}, {"plain", "3/17"}};
    const std::string text = line("05.678", formatLogBody(LogNumber::PrimaryPromoted, "proxy-1", fields));
    const std::optional<LogLine> read = parseLogLine(text.substr(0, text.size() - 1));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->number_, static_cast<int>(LogNumber::PrimaryPromoted));
    EXPECT_EQ(read->name_, "primary-promoted");
    EXPECT_EQ(read->process_, "proxy-1");
    EXPECT_EQ(read->level_, "WARN");
    EXPECT_EQ(read->time_.time_since_epoch().count() % 60'000, 5678);
    ASSERT_EQ(read->fields_.size(), fields.size());
    for (std::size_t i = 0; i < fields.size(); ++i) {
        EXPECT_EQ(read->fields_[i].key_, fields[i].key_);
        EXPECT_EQ(read->fields_[i].value_, fields[i].value_);
    }
}

// Filters a timeline by the id of a request whose lines come from two processes. State changes of all processes near these lines are included; lines of other
// requests and older state changes are not.
TEST(TimeLineMergesLogs, aRequestIsFollowedOverAllProcesses)
{
    const TimeLine timeLine = mergeLogs(
        {line("01.000", "416 authority-lost a epoch=1") + line("04.500", "601 store-lost a") + line("05.000", "507 statement-retried a id=r1")
             + line("05.100", "505 statement-refused a id=r2"),
         line("05.200", "505 statement-refused b id=r1") + line("06.000", "417 authority-regained b epoch=2") + line("09.000", "602 store-regained b")});
    const TimeLine filtered = filterByRequest(timeLine, "r1", std::chrono::milliseconds(1000));
    std::vector<int> numbers;
    for (const LogLine &event : filtered.events_) {
        numbers.push_back(event.number_);
    }
    EXPECT_THAT(numbers, ElementsAre(601, 507, 505, 417));
    EXPECT_TRUE(filterByRequest(timeLine, "r3", std::chrono::milliseconds(1000)).events_.empty());
}

TEST(TimeLineMergesLogs, linesThatAreNoEventsAreNamed)
{
    for (const char *bad :
         {"x", "2026-01-02T03:04:05.678Z WARN", "yesterday WARN 1 n p", "2026-01-02T03:04:05Z WARN one n p", "2026-01-02T03:04:05Z WARN 1 n p k=\"x"}) {
        EXPECT_FALSE(parseLogLine(bad).has_value()) << bad;
    }
    const TimeLine timeLine = mergeLogs({line("05.000", "101 process-started a") + "2026-01-02T03:04:05.1"});
    EXPECT_EQ(timeLine.events_.size(), 1U);
    ASSERT_EQ(timeLine.unreadable_.size(), 1U);
    EXPECT_EQ(timeLine.unreadable_[0].file_, "log0");
    EXPECT_EQ(timeLine.unreadable_[0].line_, 2U);
}

TEST(TimeLineMergesLogs, eventsOfAllProcessesInOrder)
{
    const TimeLine timeLine = mergeLogs({line("05.000", "402 failover-started a group=g") + line("05.250", "403 primary-promoted a group=g"),
                                         line("04.900", "401 member-suspected bb group=g") + line("05.000", "401 member-suspected bb group=h")});
    std::ostringstream text;
    writeText(timeLine, text);
    EXPECT_EQ(text.str(),
              "03:04:04.900      +0 ms  bb 401 member-suspected group=g\n"
              "03:04:05.000    +100 ms  a  402 failover-started group=g\n"
              "03:04:05.000      +0 ms  bb 401 member-suspected group=h\n"
              "03:04:05.250    +250 ms  a  403 primary-promoted group=g\n");
}

TEST(TimeLineMergesLogs, chromeTraceHasATrackForEachProcess)
{
    std::ostringstream text;
    writeChromeTrace(mergeLogs({line("05.000", "101 process-started a zone=z"), line("05.000", "101 process-started b zone=y")}), text);
    const boost::json::value trace = boost::json::parse(text.str());
    const boost::json::array &events = trace.at("traceEvents").as_array();
    ASSERT_EQ(events.size(), 4U);
    EXPECT_EQ(events[0].at("ph").as_string(), "M");
    EXPECT_EQ(events[0].at("args").at("name").as_string(), "a");
    EXPECT_EQ(events[1].at("args").at("zone").as_string(), "z");
    EXPECT_NE(events[1].at("pid").as_int64(), events[3].at("pid").as_int64());
}
