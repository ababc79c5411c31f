#include "TermBlocks.h"

#include <gtest/gtest.h>

using namespace Figward;

namespace {

std::vector<TermBlock> blocks(std::uint64_t number)
{
    return {*termBlock(number)};
}

} // namespace

TEST(TermBlocksInterleave, everyOwnerHasATermAboveAnyOther)
{
    std::vector<TermBlock> first = blocks(1);
    std::vector<TermBlock> third = blocks(3);
    Term highest;
    for (int failover = 0; failover < 10; ++failover) {
        std::vector<TermBlock> &promoter = failover % 2 == 0 ? third : first;
        const std::optional<Term> taken = takeTerm(promoter, highest);
        ASSERT_TRUE(taken.has_value());
        EXPECT_GT(*taken, highest);
        highest = *taken;
    }
}

TEST(TermBlocksInterleave, noTermIsTakenTwice)
{
    std::vector<TermBlock> own = blocks(2);
    const std::optional<Term> once = takeTerm(own, Term(0));
    // The first attempt's fence reached no member, so the highest known term is unchanged.
    const std::optional<Term> again = takeTerm(own, Term(0));
    EXPECT_EQ(once, Term(1'000'002));
    EXPECT_EQ(again, Term(2'000'002));
}

TEST(TermBlocksInterleave, aUsedUpBlockGivesNothing)
{
    std::vector<TermBlock> own = blocks(2);
    EXPECT_FALSE(takeTerm(own, own.front().last_).has_value());
    EXPECT_FALSE(termBlock(0).has_value());
    EXPECT_FALSE(termBlock(termStride).has_value());
}
