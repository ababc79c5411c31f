// A write is sent and the member stays silent. The caller is told "unknown" in time, the connection is closed once the answer is overdue, and an answer that
// comes afterwards changes nothing: a connection in doubt could hand its late answer to whoever used it next.
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
