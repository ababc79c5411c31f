/** \file
 * Defines a small HTTP/1.1 server for the stand-ins of the platform's store and of its promotion call.
 */
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace Review {

namespace asio = boost::asio;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;

/**
 * A loopback port that is free at present, for TCP and UDP. It lies below the ports from which the kernel chooses those of outgoing connections: an attempt to
 * connect to a closed port among them may connect to itself.
 */
inline std::uint16_t freePort(asio::io_context &context)
{
    constexpr unsigned lowest = 20000;
    constexpr unsigned highest = 31999;
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<unsigned> ports(lowest, highest);
    for (;;) {
        const auto port = static_cast<std::uint16_t>(ports(random));
        boost::system::error_code error;
        tcp::acceptor listener(context, tcp::v4());
        listener.bind({asio::ip::address_v4::loopback(), port}, error);
        asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
        if (!error) {
            datagrams.bind({asio::ip::address_v4::loopback(), port}, error);
        }
        if (!error) {
            return port;
        }
    }
}

struct HttpRequest
{
    std::string method_;
    std::string target_;
    std::string head_; ///< The request line and the header fields.
    std::string body_;
};

struct HttpResponse
{
    unsigned status_ = 200;
    std::string body_;
};

/** Value of the header field \p name, which is followed by a colon; empty if absent. */
inline std::string headerField(const std::string &head, std::string name)
{
    std::string lower = head;
    for (char &c : lower) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    for (char &c : name) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    const std::size_t at = lower.find("\r\n" + name + ":");
    if (at == std::string::npos) {
        return {};
    }
    std::size_t begin = at + name.size() + 3;
    while (begin < head.size() && head[begin] == ' ') {
        ++begin;
    }
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/** Listens on a free loopback port and answers requests with a handler. */
class HttpServer
{
public:
    using Handler = std::function<awaitable<HttpResponse>(HttpRequest)>;

    HttpServer(asio::io_context &context, Handler handler)
        : acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , handler_(std::move(handler))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

private:
    awaitable<void> accept()
    {
        for (;;) {
            tcp::socket socket = co_await acceptor_.async_accept(use_awaitable);
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket)
    {
        std::string buffer;
        try {
            for (;;) {
                const std::size_t headSize = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", use_awaitable);
                HttpRequest request;
                request.head_ = buffer.substr(0, headSize);
                buffer.erase(0, headSize);
                const std::size_t blank = request.head_.find(' ');
                request.method_ = request.head_.substr(0, blank);
                request.target_ = request.head_.substr(blank + 1, request.head_.find(' ', blank + 1) - blank - 1);
                const std::string length = headerField(request.head_, "content-length");
                const std::size_t size = length.empty() ? 0 : std::stoul(length);
                if (buffer.size() < size) {
                    co_await asio::async_read(socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(size - buffer.size()), use_awaitable);
                }
                request.body_ = buffer.substr(0, size);
                buffer.erase(0, size);
                const HttpResponse response = co_await handler_(std::move(request));
                const std::string text = "HTTP/1.1 " + std::to_string(response.status_) + " -\r\nContent-Type: application/json\r\nContent-Length: "
                                         + std::to_string(response.body_.size()) + "\r\n\r\n" + response.body_;
                co_await asio::async_write(socket, asio::buffer(text), use_awaitable);
            }
        } catch (const boost::system::system_error &) {
            // The connection has ended.
        }
    }

    tcp::acceptor acceptor_;
    Handler handler_;
};

/** Waits for \p time on \p timer's executor. */
inline awaitable<void> pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(use_awaitable);
}

} // namespace Review
