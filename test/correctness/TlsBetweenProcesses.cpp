/** \file
 * Checks that proxies with certificates serve callers that trust them, communicate with each other, and reject callers in plain text and peers without a
 * certificate.
 */
#include "support/LoopbackFleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {

namespace {

TEST(TlsBetweenProcesses, AWriteIsReadThroughAnotherProxy)
{
    LoopbackFleet fleet;
    fleet.useTls();
    CallerClient first(fleet.addProxy("z1").callerAddress(), fleet.callerTrust());
    CallerClient second(fleet.addProxy("z2").callerAddress(), fleet.callerTrust());
    CallerSession session = LoopbackFleet::session();
    const ClientResult written = first.execute(session.keyed(RequestKind::Write, LoopbackFleet::groupId(), "put tyre worn"));
    ASSERT_TRUE(written.ok() && written->outcome_ == Outcome::Done);
    session.take(*written);
    const ClientResult read = second.execute(session.read(LoopbackFleet::groupId(), "get tyre"));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->body_, "worn");
}

TEST(TlsBetweenProcesses, ACallerInPlainTextGetsNoAnswer)
{
    LoopbackFleet fleet;
    fleet.useTls();
    CallerClient plain(fleet.addProxy("z1").callerAddress());
    EXPECT_FALSE(plain.execute(LoopbackFleet::session().read(LoopbackFleet::groupId(), "get tyre")).ok());
}

TEST(TlsBetweenProcesses, APeerWithoutACertificateIsTurnedAway)
{
    LoopbackFleet fleet;
    fleet.useTls();
    const std::string address = fleet.addProxy("z1").vm().address_;
    const auto stub = v1::Peer::NewStub(openChannel(address, clientCredentials(fleet.callerTrust())));
    grpc::ClientContext context;
    const auto stream = stub->Connect(&context);
    v1::PeerBatch batch;
    EXPECT_FALSE(stream->Read(&batch));
    EXPECT_EQ(stream->Finish().error_code(), grpc::StatusCode::UNAVAILABLE);
}

} // namespace

} // namespace Figward::Testing
