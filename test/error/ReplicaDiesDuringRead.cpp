// A replica fails without closing its connections while a read is in flight. Once it has missed two probes, the owner must send the read to another member, so
// that the caller is answered after a few hundred milliseconds instead of after the statement timeout.
#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

TEST(ReplicaDiesDuringRead, readMovesToAnotherMember)
{
    ScriptedProxy proxy;
    Request read = ScriptedProxy::read("get k");
    read.maxStaleness_ = std::chrono::seconds(5);
    read.timeout_ = std::chrono::seconds(4);
    const RequestId id = proxy.ask(read);
    const SendStatement first = proxy.takeStatement();
    const MemberId lost = proxy.memberOf(first.connection_);
    EXPECT_NE(lost, MemberId("a"));
    proxy.reports_.erase(lost);
    proxy.pass(std::chrono::milliseconds(800));
    const SendStatement second = proxy.takeStatement();
    EXPECT_NE(proxy.memberOf(second.connection_), lost);
    EXPECT_TRUE(proxy.isClosed(first.connection_));
    proxy.answer(second, UpstreamResult::Done, {Term(1), Position(1)}, "v");
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::Done);
}
