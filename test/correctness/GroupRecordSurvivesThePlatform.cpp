#include "GroupRecord.h"

#include <gtest/gtest.h>

using namespace Figward;

TEST(GroupRecordSurvivesThePlatform, isReadAsWritten)
{
    GroupRecord record;
    record.attempt_ = AttemptId(~std::uint64_t{0});
    record.term_ = Term(2'000'003);
    record.primary_ = MemberId("tyres-1b");
    record.nextBlock_ = 8;
    record.owners_ = {{VmId(17), ZoneId("north"), *termBlock(7)}, {VmId(~std::uint64_t{0}), ZoneId("south"), *termBlock(3)}};
    const absl::StatusOr<GroupRecord> read = decodeGroupRecord(encodeGroupRecord(record));
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(*read, record);
}

TEST(GroupRecordSurvivesThePlatform, damageIsAnErrorAndNoRecord)
{
    EXPECT_FALSE(decodeGroupRecord("").ok());
    EXPECT_FALSE(decodeGroupRecord("{}").ok());
    EXPECT_FALSE(decodeGroupRecord(R"({"attempt":1,"term":-4,"primary":"a","nextBlock":1,"owners":[]})").ok());
}
