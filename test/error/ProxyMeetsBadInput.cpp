// Invalid input at a proxy's ports - bytes that are not HTTP/2, a message above the size limit, a token that no proxy issued, the transaction of another
// caller - must only cause an error for its sender. The next caller must be served as before.
#include "support/LoopbackFleet.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gmock/gmock.h>

namespace Figward::Testing {

namespace {

using boost::asio::ip::tcp;

void sendGarbage(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    boost::asio::io_context context;
    tcp::socket socket(context);
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
    socket.connect({boost::asio::ip::make_address(address.substr(0, colon)), port});
    boost::asio::write(socket, boost::asio::buffer(std::string(4096, '\xfe')));
    boost::system::error_code ended;
    std::array<char, 256> reply{};
    while (socket.read_some(boost::asio::buffer(reply), ended) > 0 && !ended) {
    }
}

Outcome outcomeOfRead(CallerClient &client)
{
    const ClientResult result = client.execute(LoopbackFleet::session().read(LoopbackFleet::groupId(), "get tyre"));
    EXPECT_TRUE(result.ok()) << result.status();
    return result.ok() ? result->outcome_ : Outcome::Unknown;
}

TEST(ProxyMeetsBadInput, GarbageOnBothPorts)
{
    LoopbackFleet fleet;
    ProxyProcess &proxy = fleet.addProxy("z1");
    CallerClient client(proxy.callerAddress());
    sendGarbage(proxy.callerAddress());
    sendGarbage(proxy.vm().address_);
    EXPECT_EQ(outcomeOfRead(client), Outcome::Done);
}

TEST(ProxyMeetsBadInput, AMessageAboveTheLimit)
{
    LoopbackFleet fleet;
    CallerClient client(fleet.addProxy("z1").callerAddress());
    CallerSession session = LoopbackFleet::session();
    const std::string tooLarge = "put tyre " + std::string(callerMessageLimit, 'x');
    const ClientResult refused = client.execute(session.keyed(RequestKind::Write, LoopbackFleet::groupId(), tooLarge));
    EXPECT_EQ(refused.status().code(), absl::StatusCode::kResourceExhausted);
    EXPECT_EQ(outcomeOfRead(client), Outcome::Done);
    const std::string large = "put tyre " + std::string(callerMessageLimit / 2, 'x');
    const ClientResult written = client.execute(session.keyed(RequestKind::Write, LoopbackFleet::groupId(), large));
    ASSERT_TRUE(written.ok());
    EXPECT_EQ(written->outcome_, Outcome::Done);
}

TEST(ProxyMeetsBadInput, ATokenThatNoProxyMade)
{
    LoopbackFleet fleet;
    ProxyProcess &proxy = fleet.addProxy("z1");
    const auto stub = v1::Caller::NewStub(openChannel(proxy.callerAddress(), clientCredentials(std::nullopt)));
    v1::ExecuteRequest request;
    request.mutable_request()->set_kind(v1::REQUEST_KIND_READ);
    request.set_token("of my own making");
    v1::ExecuteAnswer answer;
    grpc::ClientContext context;
    ASSERT_TRUE(stub->Execute(&context, request, &answer).ok());
    EXPECT_EQ(answer.answer().outcome(), v1::OUTCOME_NOT_RUN);
    EXPECT_EQ(answer.answer().error(), v1::ERROR_KIND_BAD_TOKEN);
    EXPECT_EQ(answer.token(), "of my own making");
}

TEST(ProxyMeetsBadInput, TheTransactionOfAnotherCaller)
{
    LoopbackFleet fleet;
    CallerClient client(fleet.addProxy("z1").callerAddress());
    CallerSession session = LoopbackFleet::session();
    const std::unique_ptr<CallerStream> owner = client.openStream();
    const ClientResult begun = owner->execute(session.step(RequestKind::Begin, LoopbackFleet::groupId(), ""));
    ASSERT_TRUE(begun.ok() && begun->outcome_ == Outcome::Done);
    Request intrusion = session.step(RequestKind::Write, LoopbackFleet::groupId(), "put tyre stolen");
    intrusion.transaction_ = begun->transaction_;
    for (const ClientResult &result : {client.execute(intrusion), client.openStream()->execute(intrusion)}) {
        ASSERT_TRUE(result.ok());
        EXPECT_EQ(result->outcome_, Outcome::NotRun);
        EXPECT_EQ(result->error_, ErrorKind::NoSuchTransaction);
    }
}

TEST(ProxyMeetsBadInput, APortInUse)
{
    LoopbackFleet fleet;
    ProxyProcess &first = fleet.addProxy("z1");
    ProxyOptions options;
    options.callerAddress_ = first.callerAddress();
    EXPECT_EQ(fleet.makeProxy(options)->start().code(), absl::StatusCode::kUnavailable);
    options = {};
    options.peerAddress_ = first.vm().address_;
    EXPECT_EQ(fleet.makeProxy(options)->start().code(), absl::StatusCode::kUnavailable);
    options = {};
    options.metricsAddress_ = first.callerAddress();
    EXPECT_EQ(fleet.makeProxy(options)->start().code(), absl::StatusCode::kUnavailable);
    CallerClient client(first.callerAddress());
    EXPECT_EQ(outcomeOfRead(client), Outcome::Done);
}

} // namespace

} // namespace Figward::Testing
