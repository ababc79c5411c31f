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

/**
 * Answers requests until stopAnswering() is called. From then on the existing connections stay open but get no answers, as when a network device has lost
 * its connection state.
 */
class UnresponsiveServer
{
public:
    explicit UnresponsiveServer(boost::asio::io_context &context)
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

    void stopAnswering()
    {
        for (const std::shared_ptr<Connection> &connection : connections_) {
            connection->unresponsive_ = true;
        }
    }

private:
    struct Connection
    {
        tcp::socket socket_;
        std::array<char, 4096> received_{};
        bool unresponsive_ = false;
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
                                                if (!connection->unresponsive_) {
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

// Guards against a series of calls that time out one after the other on idle connections which all became unresponsive at the same time. After the first
// timeout, the client must not use the other idle connections any more.
TEST(KeptConnectionsGoSilent, andOnlyOneCallHangs)
{
    boost::asio::io_context context;
    UnresponsiveServer server(context);
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
    server.stopAnswering();

    unsigned firstStatus = 1;
    call(std::chrono::milliseconds(100), firstStatus);
    context.run_for(std::chrono::milliseconds(300));
    ASSERT_EQ(firstStatus, 0U);
    unsigned nextStatus = 0;
    call(std::chrono::milliseconds(100), nextStatus);
    context.run_for(std::chrono::milliseconds(300));
    EXPECT_EQ(nextStatus, 200U);
}

// Guards against a call that requests a new connection but is sent on an idle one that has become unresponsive.
TEST(KeptConnectionsGoSilent, andACallOnANewOneIsAnswered)
{
    boost::asio::io_context context;
    UnresponsiveServer server(context);
    HttpClient client(context, server.address());
    unsigned status = 0;
    bool began = false;
    client.call(
        requestWithin(std::chrono::seconds(2)), [&](const HttpResponse &response) { status = response.status_; }, [&] { began = true; });
    context.run_for(std::chrono::milliseconds(200));
    ASSERT_EQ(status, 200U);
    EXPECT_TRUE(began);
    server.stopAnswering();
    HttpRequest request = requestWithin(std::chrono::milliseconds(100));
    request.newConnection_ = true;
    status = 0;
    client.call(request, [&](const HttpResponse &response) { status = response.status_; });
    context.run_for(std::chrono::milliseconds(300));
    EXPECT_EQ(status, 200U);
}
