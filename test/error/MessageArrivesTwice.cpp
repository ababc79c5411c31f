// A message between proxies arrives twice. A second copy of a Begin must not open another transaction, whose connection nobody would release. A second copy of
// a step must not run again inside its transaction, where no idempotency key protects it. The owner drops the second copy without an answer, as the first copy
// is answered.
#include "support/ScriptedProxy.h"

#include "ForwardWindow.h"

#include <gtest/gtest.h>

#include <set>

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

// Guards against a false NotRun. The queue is about as long as the caller's timeout: the first copy of a write fits, but the second copy, queued behind the
// first, would miss its deadline. If the owner refused the second copy, the entry would report that the write did not run, and 25 ms later the first copy would
// run.
TEST(MessageArrivesTwice, aWriteThatWaitsIsNotRefusedByItsCopy)
{
    ScriptedProxy proxy;
    GroupOwner &owner = proxy.state_.owners_.begin()->second;
    owner.queue_.serviceTime_ = std::chrono::seconds(1);
    const auto write = [](std::uint64_t id) {
        Request request = ScriptedProxy::write(id, "append k x");
        request.timeout_ = std::chrono::milliseconds(500);
        return PeerReceived{{VmId(2), VmId(1), "127.0.0.1:2", ConfigVersion(1), ForwardRequest{RequestId(id), request}}};
    };
    for (std::uint64_t id = 1; id <= 40; ++id) {
        proxy.feed(write(id));
        proxy.feed(write(id));
    }
    std::set<RequestId> refused;
    for (const Effect &effect : proxy.effects_) {
        const auto *sent = std::get_if<SendPeer>(&effect);
        const auto *answer = sent == nullptr ? nullptr : std::get_if<ForwardAnswer>(&sent->message_.body_);
        if (answer != nullptr && answer->answer_.outcome_ == Outcome::NotRun) {
            EXPECT_TRUE(refused.insert(answer->id_).second) << "answered twice";
        }
    }
    EXPECT_FALSE(refused.empty()) << "the queue should be too long to accept all writes";
    for (const auto &[ticket, owned] : owner.requests_.byTicket_) {
        EXPECT_FALSE(refused.contains(owned.origin_.id_)) << "answered NotRun, but still queued to run";
    }
}

TEST(MessageArrivesTwice, isKnownHoweverTheIdsCome)
{
    ForwardWindow window;
    EXPECT_TRUE(recordArrival(window, RequestId(10)));
    EXPECT_TRUE(recordArrival(window, RequestId(7))) << "overtaken by a later id";
    EXPECT_FALSE(recordArrival(window, RequestId(7)));
    EXPECT_TRUE(recordArrival(window, RequestId(10 + ForwardWindow::size)));
    EXPECT_FALSE(recordArrival(window, RequestId(10))) << "too old to tell";
    EXPECT_TRUE(recordArrival(window, RequestId(11)));
    EXPECT_TRUE(recordArrival(window, RequestId(10 + 3 * ForwardWindow::size)));
    EXPECT_TRUE(recordArrival(window, RequestId(9 + 3 * ForwardWindow::size)));
}
