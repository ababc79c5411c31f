// The primary answers a write at once. The caller may receive Done only after a replica has reported the entry as well: if the primary failed before that, the
// acknowledged write would be lost. If no replica reports it, the caller must receive Unknown.
#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

TEST(PrimaryAnswersBeforeMajority, acknowledgedOnceAReplicaHoldsIt)
{
    ScriptedProxy proxy;
    const RequestId id = proxy.ask(ScriptedProxy::write(1, "put k v"));
    const SendStatement sent = proxy.takeStatement();
    EXPECT_EQ(proxy.memberOf(sent.connection_), MemberId("a"));
    EXPECT_EQ(sent.statement_.requiredTerm_, Term(1));
    proxy.setPosition("a", 2);
    proxy.answer(sent, UpstreamResult::Done, {Term(1), Position(2)});
    proxy.pass(std::chrono::milliseconds(20));
    EXPECT_TRUE(proxy.answersTo(id).empty());
    proxy.setPosition("c", 2);
    proxy.pass(std::chrono::milliseconds(20));
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::Done);
    EXPECT_EQ(proxy.answersTo(id).front().token_.points_.at(GroupId("g")), (LogPoint{Term(1), Position(2)}));
}

TEST(PrimaryAnswersBeforeMajority, unknownWhenNoReplicaEverHoldsIt)
{
    ScriptedProxy proxy;
    const RequestId id = proxy.ask(ScriptedProxy::write(1, "put k v"));
    proxy.setPosition("a", 2);
    proxy.answer(proxy.takeStatement(), UpstreamResult::Done, {Term(1), Position(2)});
    proxy.pass(std::chrono::seconds(2));
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::Unknown);
}

TEST(PrimaryAnswersBeforeMajority, notAcknowledgedAfterAHigherFenceWasSeen)
{
    ScriptedProxy proxy;
    const RequestId id = proxy.ask(ScriptedProxy::write(1, "put k v"));
    proxy.setPosition("a", 2);
    proxy.setPosition("b", 2);
    // Another owner has fenced b at term 2, so b may already have helped to choose a primary that lacks the entry.
    proxy.reports_.at(MemberId("b")).fenced_ = Term(2);
    proxy.pass(std::chrono::milliseconds(110));
    proxy.answer(proxy.takeStatement(), UpstreamResult::Done, {Term(1), Position(2)});
    proxy.pass(std::chrono::milliseconds(20));
    for (const Answer &answer : proxy.answersTo(id)) {
        EXPECT_NE(answer.outcome_, Outcome::Done);
    }
}
