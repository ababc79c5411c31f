#include "HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace Figward;

namespace {

using boost::asio::ip::tcp;

/** Answers each request on a connection until that connection is silenced; silent ones stay open, as behind a link that lost its state. */
class SilentServer
{
public:
    explicit SilentServer(boost::asio::io_context &context)
        : acceptor_(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    [[nodiscard]] std::size_t connections() const
    {
        return connections_.size();
    }

    void silenceAll()
    {
        for (const std::shared_ptr<Connection> &connection : connections_) {
            connection->silent_ = true;
        }
    }

private:
    struct Connection
    {
        tcp::socket socket_;
        std::array<char, 4096> received_{};
        bool silent_ = false;
    };

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (!error) {
                connections_.push_back(std::make_shared<Connection>(Connection{std::move(socket)}));
                serve(connections_.back());
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        connection->socket_.async_read_some(boost::asio::buffer(connection->received_),
                                            [this, connection](const boost::system::error_code &error, std::size_t /*size*/) {
                                                if (error) {
                                                    return;
                                                }
                                                if (!connection->silent_) {
                                                    static const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                                                    boost::asio::write(connection->socket_, boost::asio::buffer(answer));
                                                }
                                                serve(connection);
                                            });
    }

    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<Connection>> connections_;
};

HttpRequest requestWithin(std::chrono::milliseconds timeout)
{
    HttpRequest request;
    request.target_ = "/";
    request.timeout_ = timeout;
    return request;
}

} // namespace

// Guards against calls that hang one after the other on kept connections which went silent together: the first that gets no answer shows that the others cannot be relied on.
TEST(KeptConnectionsGoSilent, andOnlyOneCallHangs)
{
    boost::asio::io_context context;
    SilentServer server(context);
    HttpClient client(context, server.address());
    const auto call = [&](std::chrono::milliseconds timeout, unsigned &status) {
        client.call(requestWithin(timeout), [&status](const HttpResponse &response) { status = response.status_; });
    };
    std::array<unsigned, 3> first{};
    for (unsigned &status : first) {
        call(std::chrono::seconds(2), status);
    }
    context.run_for(std::chrono::milliseconds(200));
    ASSERT_EQ(first, (std::array<unsigned, 3>{200, 200, 200}));
    ASSERT_EQ(server.connections(), 3U);
    server.silenceAll();

    unsigned hangs = 1;
    call(std::chrono::milliseconds(100), hangs);
    context.run_for(std::chrono::milliseconds(300));
    ASSERT_EQ(hangs, 0U);
    unsigned next = 0;
    call(std::chrono::milliseconds(100), next);
    context.run_for(std::chrono::milliseconds(300));
    EXPECT_EQ(next, 200U);
}

// Guards against the same for a call that must not hang on a kept connection at all.
TEST(KeptConnectionsGoSilent, andACallOnANewOneIsAnswered)
{
    boost::asio::io_context context;
    SilentServer server(context);
    HttpClient client(context, server.address());
    unsigned status = 0;
    bool began = false;
    client.call(
        requestWithin(std::chrono::seconds(2)), [&](const HttpResponse &response) { status = response.status_; }, [&] { began = true; });
    context.run_for(std::chrono::milliseconds(200));
    ASSERT_EQ(status, 200U);
    EXPECT_TRUE(began);
    server.silenceAll();
    HttpRequest request = requestWithin(std::chrono::milliseconds(100));
    request.newConnection_ = true;
    status = 0;
    client.call(request, [&](const HttpResponse &response) { status = response.status_; });
    context.run_for(std::chrono::milliseconds(300));
    EXPECT_EQ(status, 200U);
}
