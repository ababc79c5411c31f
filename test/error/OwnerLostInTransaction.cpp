// The owner of a caller's open transaction is lost. Before the commit is sent, the transaction can never take effect, and the caller receives NotRun. Once the
// commit is sent, only its key can tell: the entry proxy asks another owner to cancel the key. The answer is either the recorded commit or a tombstone, which
// stops a late commit.
#include "support/ScriptedProxy.h"

#include <gtest/gtest.h>

using namespace Figward;
using Figward::Testing::ScriptedProxy;

namespace {

const std::vector<VmInfo> others{{VmId(2), ZoneId("z2"), "127.0.0.1:2", false}, {VmId(3), ZoneId("z3"), "127.0.0.1:3", false}};

Request step(RequestKind kind, TransactionId transaction)
{
    Request request = ScriptedProxy::write(5, kind == RequestKind::Commit ? "" : "put k v");
    request.kind_ = kind;
    request.transaction_ = transaction;
    return request;
}

/** Opens a transaction. Returns its id and the forwarded Begin, which names its owner. */
std::pair<TransactionId, PeerMessage> begin(ScriptedProxy &proxy)
{
    Request request = ScriptedProxy::read("");
    request.kind_ = RequestKind::Begin;
    const RequestId id = proxy.ask(request);
    const PeerMessage forward = proxy.takeForward();
    Answer answer;
    answer.outcome_ = Outcome::Done;
    proxy.answerForward(forward, answer);
    EXPECT_EQ(proxy.answersTo(id).size(), 1U);
    return {proxy.answersTo(id).front().transaction_, forward};
}

} // namespace

TEST(OwnerLostInTransaction, beforeCommitItIsNotRun)
{
    ScriptedProxy proxy(others, false);
    const auto [transaction, owner] = begin(proxy);
    const RequestId id = proxy.ask(step(RequestKind::Write, transaction));
    EXPECT_EQ(proxy.takeForward().to_, owner.to_);
    proxy.feed(PeerLost{findVm(proxy.state_, owner.to_)->address_});
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::NotRun);
    EXPECT_EQ(proxy.answersTo(id).front().error_, ErrorKind::TransactionLost);
    const RequestId commit = proxy.ask(step(RequestKind::Commit, transaction));
    ASSERT_EQ(proxy.answersTo(commit).size(), 1U);
    EXPECT_EQ(proxy.answersTo(commit).front().error_, ErrorKind::NoSuchTransaction);
}

TEST(OwnerLostInTransaction, afterCommitTheKeyTells)
{
    ScriptedProxy proxy(others, false);
    const auto [transaction, owner] = begin(proxy);
    const RequestId id = proxy.ask(step(RequestKind::Commit, transaction));
    proxy.takeForward();
    proxy.feed(PeerLost{findVm(proxy.state_, owner.to_)->address_});
    EXPECT_TRUE(proxy.answersTo(id).empty());
    const PeerMessage cancel = proxy.takeForward();
    EXPECT_NE(cancel.to_, owner.to_);
    EXPECT_EQ(std::get<ForwardRequest>(cancel.body_).request_.kind_, RequestKind::CancelKey);
    Answer recorded;
    recorded.outcome_ = Outcome::Done;
    recorded.body_ = "committed";
    proxy.answerForward(cancel, recorded);
    ASSERT_EQ(proxy.answersTo(id).size(), 1U);
    EXPECT_EQ(proxy.answersTo(id).front().outcome_, Outcome::Done);
    EXPECT_EQ(proxy.answersTo(id).front().body_, "committed");
}
