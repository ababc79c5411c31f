// A caller's Begin times out before it is answered. When the answer arrives, the connection has an open transaction without a caller. It must be closed: if it
// were reused, the next caller's statements would run inside that transaction.
#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

TEST(BeginAnsweredAfterCallerLeft, connectionIsClosedNotShared)
{
    ScriptedProxy proxy;
    Request begin = ScriptedProxy::read("");
    begin.kind_ = RequestKind::Begin;
    begin.timeout_ = std::chrono::milliseconds(50);
    const RequestId id = proxy.ask(begin);
    const SendStatement sent = proxy.takeStatement();
    proxy.pass(std::chrono::milliseconds(60));
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::NotRun);
    proxy.answer(sent, UpstreamResult::Done);
    EXPECT_TRUE(proxy.isClosed(sent.connection_));
    proxy.takeStatements();
    proxy.ask(ScriptedProxy::write(1, "put k v"));
    proxy.pass(std::chrono::milliseconds(1));
    EXPECT_NE(proxy.takeStatement().connection_, sent.connection_);
}
