// A caller that received Unknown repeats its request with the same key at another proxy. This proxy refuses the repeat, or finds no owner, while the first
// request is still in flight and may run later. NotRun would then be wrong: the caller may receive it only once the key is cancelled, and must receive Unknown
// otherwise.
#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

namespace {

const std::vector<VmInfo> others{{VmId(2), ZoneId("z2"), "127.0.0.1:2", false}};

Request repeat()
{
    Request request = ScriptedProxy::write(7, "put k v");
    request.repeated_ = true;
    return request;
}

} // namespace

TEST(RepeatIsRefused, onArrivalItIsUnknown)
{
    ScriptedProxy proxy;
    proxy.feed(DrainAsked{});
    const RequestId id = proxy.ask(repeat());
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::Unknown);
    EXPECT_EQ(proxy.answersTo(id).front().error_, ErrorKind::Draining);
}

TEST(RepeatIsRefused, byTheOwnerItsKeyIsCancelledFirst)
{
    ScriptedProxy proxy(others, false);
    const RequestId id = proxy.ask(repeat());
    proxy.answerForward(proxy.takeForward(), notRun(ErrorKind::QueueFull));
    EXPECT_TRUE(proxy.answersTo(id).empty());
    const PeerMessage cancel = proxy.takeForward();
    EXPECT_EQ(std::get<ForwardRequest>(cancel.body_).request_.kind_, RequestKind::CancelKey);
    proxy.answerForward(cancel, notRun(ErrorKind::KeyCancelled));
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::NotRun);
}
