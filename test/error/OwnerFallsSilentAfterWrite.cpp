// A write is forwarded to an owner that never answers, so it may or may not have run. The entry proxy sends the write with the same key to the next owner,
// where the group's unique key finds it if it ran. The caller must receive one correct answer and the write must take effect once. If no owner answers, the
// caller must receive Unknown, never NotRun.
#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

namespace {

const std::vector<VmInfo> others{{VmId(2), ZoneId("z2"), "127.0.0.1:2", false}, {VmId(3), ZoneId("z3"), "127.0.0.1:3", false}};

const ForwardRequest &forwardOf(const PeerMessage &message)
{
    return std::get<ForwardRequest>(message.body_);
}

Answer done(std::string body)
{
    Answer answer;
    answer.outcome_ = Outcome::Done;
    answer.body_ = std::move(body);
    return answer;
}

} // namespace

TEST(OwnerFallsSilentAfterWrite, nextOwnerGetsTheSameKey)
{
    ScriptedProxy proxy(others, false);
    const RequestId id = proxy.ask(ScriptedProxy::write(7, "put k v"));
    const PeerMessage first = proxy.takeForward();
    proxy.pass(std::chrono::milliseconds(510));
    const PeerMessage second = proxy.takeForward();
    EXPECT_NE(second.to_, first.to_);
    EXPECT_EQ(forwardOf(second).request_.key_, forwardOf(first).request_.key_);
    EXPECT_EQ(forwardOf(second).request_.kind_, RequestKind::Write);
    proxy.answerForward(second, done("v2"));
    proxy.answerForward(first, done("v1"));
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().body_, "v2");
}

TEST(OwnerFallsSilentAfterWrite, lateAnswerOfTheFirstOwnerCounts)
{
    ScriptedProxy proxy(others, false);
    const RequestId id = proxy.ask(ScriptedProxy::write(7, "put k v"));
    const PeerMessage first = proxy.takeForward();
    proxy.pass(std::chrono::milliseconds(510));
    const PeerMessage second = proxy.takeForward();
    proxy.answerForward(first, notRun(ErrorKind::NoPrimary));
    EXPECT_TRUE(proxy.answersTo(id).empty()) << "a refusal by one owner does not tell whether the request ran at the other";
    proxy.answerForward(first, done("v1"));
    proxy.answerForward(second, done("v2"));
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().body_, "v1");
}

TEST(OwnerFallsSilentAfterWrite, refusalByTheNextOwnerProvesNothing)
{
    ScriptedProxy proxy(others, false);
    const RequestId id = proxy.ask(ScriptedProxy::write(7, "put k v"));
    proxy.takeForward();
    proxy.pass(std::chrono::milliseconds(510));
    proxy.answerForward(proxy.takeForward(), notRun(ErrorKind::QueueFull));
    EXPECT_TRUE(proxy.answersTo(id).empty());
    const PeerMessage cancel = proxy.takeForward();
    EXPECT_EQ(forwardOf(cancel).request_.kind_, RequestKind::CancelKey);
    proxy.answerForward(cancel, notRun(ErrorKind::KeyCancelled));
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::NotRun);
    EXPECT_EQ(proxy.answersTo(id).front().error_, ErrorKind::QueueFull);
}

TEST(OwnerFallsSilentAfterWrite, unknownWhenAllStaySilent)
{
    ScriptedProxy proxy(others, false);
    const RequestId id = proxy.ask(ScriptedProxy::write(7, "put k v"));
    proxy.pass(std::chrono::seconds(2));
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::Unknown);
}

TEST(OwnerFallsSilentAfterWrite, answerForAFormerIncarnationIsDropped)
{
    ScriptedProxy proxy(others, false);
    const RequestId id = proxy.ask(ScriptedProxy::write(7, "put k v"));
    PeerMessage forward = proxy.takeForward();
    PeerMessage answer{forward.to_, VmId(99), {}, ConfigVersion(1), ForwardAnswer{forwardOf(forward).id_, done("other")}};
    proxy.feed(PeerReceived{answer});
    EXPECT_TRUE(proxy.answersTo(id).empty());
}
