// A message between proxies arrives twice. A doubled Begin must not open a second transaction, whose connection nobody would ever end; a doubled step must not
// run twice inside its transaction, where no idempotency key protects it. The owner drops the second copy without an answer: the first has one.
#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

namespace {

PeerMessage forwarded(std::uint64_t id, RequestKind kind)
{
    Request request = ScriptedProxy::read("append k x");
    request.kind_ = kind;
    request.transaction_ = TransactionId(50);
    return {VmId(2), VmId(1), "127.0.0.1:2", ConfigVersion(1), ForwardRequest{RequestId(id), request}};
}

} // namespace

TEST(MessageArrivesTwice, beginOpensOneTransaction)
{
    ScriptedProxy proxy;
    proxy.feed(PeerReceived{forwarded(1, RequestKind::Begin)});
    proxy.feed(PeerReceived{forwarded(1, RequestKind::Begin)});
    proxy.answer(proxy.takeStatement(), UpstreamResult::Done);
    proxy.feed(PeerReceived{forwarded(1, RequestKind::Begin)});
    EXPECT_TRUE(proxy.takeStatements().empty());
}

TEST(MessageArrivesTwice, stepRunsOnce)
{
    ScriptedProxy proxy;
    proxy.feed(PeerReceived{forwarded(1, RequestKind::Begin)});
    proxy.answer(proxy.takeStatement(), UpstreamResult::Done);
    proxy.feed(PeerReceived{forwarded(2, RequestKind::Write)});
    proxy.answer(proxy.takeStatement(), UpstreamResult::Done);
    proxy.feed(PeerReceived{forwarded(2, RequestKind::Write)});
    EXPECT_TRUE(proxy.takeStatements().empty());
}
