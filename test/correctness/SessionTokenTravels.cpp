#include "Request.h"

#include <gtest/gtest.h>

using namespace Figward;

TEST(SessionTokenTravels, survivesEncoding)
{
    SessionToken token;
    advance(token, GroupId("tyres-1"), {Term(3), Position(17)});
    advance(token, GroupId("tyres-2"), {Term(1), Position(4)});
    const absl::StatusOr<SessionToken> decoded = decodeToken(encodeToken(token));
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(*decoded, token);
}

TEST(SessionTokenTravels, neverGoesBack)
{
    SessionToken token;
    advance(token, GroupId("tyres-1"), {Term(3), Position(17)});
    advance(token, GroupId("tyres-1"), {Term(2), Position(90)});
    EXPECT_EQ(token.points_.at(GroupId("tyres-1")), (LogPoint{Term(3), Position(17)}));
}

TEST(SessionTokenTravels, damagedTextIsRefused)
{
    EXPECT_FALSE(decodeToken("f1:***").ok());
    EXPECT_FALSE(decodeToken("something else").ok());
}
