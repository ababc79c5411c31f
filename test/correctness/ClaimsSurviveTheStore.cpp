#include "ObjectFormat.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Platform;

namespace {

LeaderClaim exampleClaim()
{
    LeaderClaim claim;
    claim.group_ = ServiceId("ledger");
    claim.revision_ = 7;
    claim.leaderName_ = "vm-1";
    claim.leader_ = VmId(12);
    claim.generation_ = 3;
    claim.renewals_ = 4;
    claim.epoch_ = 5;
    claim.phase_ = ClaimPhase::Steady;
    claim.primary_ = MemberId("member-2");
    claim.term_ = Term(2);
    claim.termStart_ = LogPoint{Term(1), Position(178)};
    return claim;
}

std::optional<LeaderClaim> storeAndRead(const LeaderClaim &claim)
{
    const std::optional<StoreObject> object = readObject(writeClaim(claim));
    return object ? readClaim(*object) : std::nullopt;
}

} // namespace

TEST(ClaimsSurviveTheStore, withTheStartOfTheTerm)
{
    const std::optional<LeaderClaim> claim = storeAndRead(exampleClaim());
    ASSERT_TRUE(claim.has_value());
    EXPECT_EQ(claim->term_, Term(2));
    EXPECT_EQ(claim->termStart_, (LogPoint{Term(1), Position(178)}));
    EXPECT_EQ(claim->generation_, 3U);
    EXPECT_EQ(claim->primary_, MemberId("member-2"));
}

// Guards against a claim of an older version, which lacks the start of the term, that cannot be read or is taken for one that began with an empty log.
TEST(ClaimsSurviveTheStore, withoutTheStartOfTheTerm)
{
    LeaderClaim written = exampleClaim();
    written.termStart_.reset();
    const std::optional<LeaderClaim> claim = storeAndRead(written);
    ASSERT_TRUE(claim.has_value());
    EXPECT_FALSE(claim->termStart_.has_value());

    const std::optional<StoreObject> older =
        readObject(R"({"meta":{"name":"ledger","revision":7},"spec":{"leader":"vm-1","incarnation":12,"generation":3,"renewals":4,"epoch":5,)"
                   R"("phase":"steady","primary_member":"member-2","primary_term":2}})");
    ASSERT_TRUE(older.has_value());
    const std::optional<LeaderClaim> olderClaim = readClaim(*older);
    ASSERT_TRUE(olderClaim.has_value());
    EXPECT_EQ(olderClaim->term_, Term(2));
    EXPECT_FALSE(olderClaim->termStart_.has_value());
}
