// A primary of term 2 starts its term at 2/7 and answers a read there, but no other member receives the entry, and the primary of term 3 continues from 1/7. A
// session then reads with the token 2/7. A member of term 3 never had that entry, although its term began above position 7. If it were taken to contain the
// entry, it would serve the read, and count as a holder, of an entry that the group has lost.
#include "GroupView.h"

#include <gtest/gtest.h>

using namespace Figward;

namespace {

MemberStatus statusOfTermThree()
{
    return {.log_ = {Term(3), Position(9)}, .fenced_ = Term(3), .termStarts_ = {{Term(1), Position(1)}, {Term(3), Position(8)}}};
}

} // namespace

TEST(PrimaryOfALostTerm, itsEntriesAreInNoLaterLog)
{
    EXPECT_FALSE(contains(statusOfTermThree(), {Term(2), Position(7)}));
    EXPECT_TRUE(contains(statusOfTermThree(), {Term(1), Position(7)}));
    EXPECT_FALSE(contains(statusOfTermThree(), {Term(1), Position(8)}));
    EXPECT_TRUE(contains(statusOfTermThree(), {Term(3), Position(8)}));
}

TEST(PrimaryOfALostTerm, aTermOlderThanTheReportedStartsCountsAsAbsent)
{
    MemberStatus status = statusOfTermThree();
    status.termStarts_.erase(status.termStarts_.begin());
    EXPECT_FALSE(contains(status, {Term(1), Position(7)}));
}
