#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

namespace {

SessionToken tokenAt(std::uint64_t term, std::uint64_t position)
{
    SessionToken token;
    advance(token, GroupId("g"), {Term(term), Position(position)});
    return token;
}

/** Returns the member that a read with \p token and \p maxStaleness is sent to, when only replica b has reached \p position. */
MemberId servedBy(SessionToken token, std::optional<Duration> maxStaleness, std::uint64_t position)
{
    ScriptedProxy proxy;
    proxy.setPosition("a", position);
    proxy.setPosition("b", position);
    proxy.pass(std::chrono::milliseconds(250));
    Request read = ScriptedProxy::read("get k");
    read.token_ = std::move(token);
    read.maxStaleness_ = maxStaleness;
    proxy.ask(read);
    proxy.pass(std::chrono::milliseconds(50));
    const std::vector<SendStatement> sent = proxy.takeStatements();
    return sent.size() == 1 ? proxy.memberOf(sent.front().connection_) : MemberId("none");
}

} // namespace

TEST(ReadsPreferReplicas, withoutTokenOrStalenessThePrimaryServes)
{
    EXPECT_EQ(servedBy({}, std::nullopt, 5), MemberId("a"));
}

TEST(ReadsPreferReplicas, tokenIsServedByTheReplicaThatHasIt)
{
    EXPECT_EQ(servedBy(tokenAt(1, 5), std::nullopt, 5), MemberId("b"));
}

TEST(ReadsPreferReplicas, tokenThatNoReplicaHasFallsBackToThePrimary)
{
    EXPECT_EQ(servedBy(tokenAt(1, 6), std::nullopt, 5), MemberId("a"));
}

TEST(ReadsPreferReplicas, stalenessAllowsReplicasWithinTheBound)
{
    EXPECT_EQ(servedBy({}, std::chrono::seconds(1), 5), MemberId("b"));
}

TEST(ReadsPreferReplicas, tokenOfALaterTermIsNotServedByAReplacedPrimary)
{
    EXPECT_EQ(servedBy(tokenAt(2, 3), std::nullopt, 5), MemberId("none"));
}
