// A caller opens a transaction and vanishes before Begin is answered. The answer arrives all the same, and the connection now stands inside a transaction
// that belongs to nobody. The next caller must not get this connection: its statements would run inside the stranger's transaction.
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
