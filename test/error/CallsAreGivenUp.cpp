#include "HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>

using namespace Figward;

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds callTimeout(100);

/** Accepts one connection and answers nothing. It reads only when told to, on a context of its own, so that it works while the client's context stands still. */
class MuteServer
{
public:
    MuteServer()
        : acceptor_(context_, tcp::v4())
        , socket_(context_)
    {
        constexpr int smallWindow = 4096;
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(smallWindow));
        acceptor_.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        acceptor_.listen();
        acceptor_.async_accept(socket_, [](const boost::system::error_code & /*error*/) {});
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /** Reads all that the client has sent, and returns how the connection ended; success if it has not. */
    boost::system::error_code readToEnd()
    {
        boost::system::error_code end;
        std::string received;
        boost::asio::async_read(
            socket_, boost::asio::dynamic_buffer(received), [&end](const boost::system::error_code &error, std::size_t /*size*/) { end = error; });
        context_.restart();
        context_.run_for(std::chrono::seconds(1));
        return end;
    }

    void accept()
    {
        context_.run_one_for(std::chrono::seconds(1));
    }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    tcp::socket socket_;
};

HttpRequest requestOf(std::size_t bodySize)
{
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = "/";
    request.body_ = std::string(bodySize, 'x');
    request.timeout_ = callTimeout;
    return request;
}

} // namespace

// Guards against a call that arrives after its timeout: a partition holds it up, and without a reset the kernel goes on to send what was written.
TEST(CallsAreGivenUp, byAResetAfterTheTimeout)
{
    boost::asio::io_context context;
    MuteServer server;
    HttpClient client(context, server.address());
    unsigned status = 1;
    client.call(requestOf(1), [&status](const HttpResponse &response) { status = response.status_; });
    context.run_for(2 * callTimeout);
    server.accept();
    ASSERT_EQ(status, 0U);
    EXPECT_EQ(server.readToEnd(), boost::asio::error::connection_reset);
}

// Guards against a call that arrives after the process that made it has ended.
TEST(CallsAreGivenUp, byAResetAtTheEndOfTheProcess)
{
    auto context = std::make_unique<boost::asio::io_context>();
    MuteServer server;
    auto client = std::make_unique<HttpClient>(*context, server.address());
    client->call(requestOf(1), [](const HttpResponse & /*response*/) {});
    context->run_for(callTimeout / 2);
    server.accept();
    client.reset();
    context.reset();
    EXPECT_EQ(server.readToEnd(), boost::asio::error::connection_reset);
}

// Guards against a call that arrives after its timeout because the process was suspended when the timeout passed.
TEST(CallsAreGivenUp, whileTheProcessIsSuspended)
{
    boost::asio::io_context context;
    MuteServer server;
    HttpClient client(context, server.address());
    constexpr std::size_t moreThanTheWindow = std::size_t{16} << 20U;
    client.call(requestOf(moreThanTheWindow), [](const HttpResponse & /*response*/) {});
    context.run_for(callTimeout / 2);
    server.accept();
    // The client's context does not run from here on.
    std::this_thread::sleep_for(20 * callTimeout);
    EXPECT_EQ(server.readToEnd(), boost::asio::error::connection_reset);
}
