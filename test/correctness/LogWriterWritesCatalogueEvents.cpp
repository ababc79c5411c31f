#include "LogLine.h"
#include "LogWriter.h"
#include "support/TestFiles.h"

#include <cstdio>
#include <filesystem>
#include <gmock/gmock.h>

using namespace Figward;
using namespace testing;

TEST(LogWriterWritesCatalogueEvents, oneLineAnEventAboveTheLevel)
{
    const std::string file = (std::filesystem::path(testing::TempDir()) / "LogWriterWritesCatalogueEvents.log").string();
    std::remove(file.c_str());
    {
        LogWriter writer("proxy-1", file, LogLevel::Warning);
        writer.write(LogNumber::ProcessStarted, {});
        writer.write(LogNumber::PrimaryPromoted, {{"group", "g 1"}});
        writer.write(LogNumber::ConfigurationRefused, {{"reason", "two\nlines"}});
    }
    std::ifstream in(file);
    std::vector<LogLine> lines;
    for (std::string text; std::getline(in, text);) {
        std::optional<LogLine> line = parseLogLine(text);
        ASSERT_TRUE(line.has_value()) << text;
        lines.push_back(*std::move(line));
    }
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(lines[0].level_, "WARN");
    EXPECT_EQ(lines[0].fields_.at(0).value_, "g 1");
    EXPECT_EQ(lines[1].level_, "ERROR");
    EXPECT_EQ(lines[1].fields_.at(0).value_, "two\nlines");
}
