// A member does not answer a write. The caller must receive Unknown in time, and the connection must be closed once the answer is overdue, as a late answer
// could otherwise reach the next request on it. A late answer must have no effect.
#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

TEST(OverdueAnswerCostsItsConnection, callerIsToldUnknownOnce)
{
    ScriptedProxy proxy;
    const RequestId id = proxy.ask(ScriptedProxy::write(1, "put k v"));
    const SendStatement sent = proxy.takeStatement();
    proxy.pass(std::chrono::milliseconds(1100));
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::Unknown);
    EXPECT_TRUE(proxy.answersTo(id).front().retryAfter_.has_value());
    proxy.pass(std::chrono::seconds(2));
    EXPECT_TRUE(proxy.isClosed(sent.connection_));
    proxy.answer(sent, UpstreamResult::Done, {Term(1), Position(2)});
    EXPECT_EQ(proxy.answersTo(id).size(), 1U);
}
