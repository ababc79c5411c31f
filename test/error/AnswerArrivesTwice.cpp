// A member's answer arrives a second time while the same connection already serves another caller. Answers are matched to statements, so the duplicate must be
// dropped and the second caller must receive its own answer.
#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

TEST(AnswerArrivesTwice, secondCallerGetsItsOwnAnswer)
{
    ScriptedProxy proxy;
    const RequestId first = proxy.ask(ScriptedProxy::read("get k1"));
    const SendStatement firstSent = proxy.takeStatement();
    proxy.answer(firstSent, UpstreamResult::Done, {Term(1), Position(1)}, "v1");
    const RequestId second = proxy.ask(ScriptedProxy::read("get k2"));
    const SendStatement secondSent = proxy.takeStatement();
    EXPECT_EQ(secondSent.connection_, firstSent.connection_);
    proxy.answer(firstSent, UpstreamResult::Done, {Term(1), Position(1)}, "v1");
    EXPECT_TRUE(proxy.answersTo(second).empty());
    proxy.answer(secondSent, UpstreamResult::Done, {Term(1), Position(1)}, "v2");
    ASSERT_EQ(proxy.answersTo(second).size(), 1U);
    EXPECT_EQ(proxy.answersTo(second).front().body_, "v2");
    ASSERT_EQ(proxy.answersTo(first).size(), 1U);
    EXPECT_EQ(proxy.answersTo(first).front().body_, "v1");
}

TEST(AnswerArrivesTwice, answerOnTheWrongConnectionIsDropped)
{
    ScriptedProxy proxy;
    const RequestId id = proxy.ask(ScriptedProxy::read("get k1"));
    SendStatement sent = proxy.takeStatement();
    const SendStatement right = sent;
    for (const auto &[connection, pooled] : proxy.state_.owners_.at(GroupId("g")).pool_.connections_) {
        if (connection != right.connection_) {
            sent.connection_ = connection;
        }
    }
    ASSERT_NE(sent.connection_, right.connection_);
    proxy.answer(sent, UpstreamResult::Done, {Term(1), Position(1)}, "stray");
    EXPECT_TRUE(proxy.answersTo(id).empty());
    proxy.answer(right, UpstreamResult::Done, {Term(1), Position(1)}, "v1");
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
}
