/** \file
 * Defines a small HTTP/1.1 server for short responses, such as whether this VM is ready.
 */
#pragma once

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Figward {

/** A response to send. */
struct HttpServerResponse
{
    unsigned status_ = 404;
    std::string body_; ///< JSON, or empty.
    std::shared_ptr<const void> untilWritten_ = nullptr; ///< Released once the response has been written or its connection is lost.
};

/** A received request. */
struct HttpServerRequest
{
    std::string method_;
    std::string target_;
    std::string body_;
};

/** HTTP server that handles requests on the context's thread. */
class HttpListener
{
public:
    using Respond = std::function<void(HttpServerResponse response)>;
    /** Handles a request. It must call \p respond exactly once, on the context's thread, before it returns or later. */
    using Handler = std::function<void(const HttpServerRequest &request, Respond respond)>;

    HttpListener(boost::asio::io_context &context, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;
    /** Listens on \p address, given as "IP:port". Returns Unavailable if the address is in use. */
    absl::Status open(const std::string &address);
    /** The local address as "IP:port", with the actual port if open() was called with port 0. */
    [[nodiscard]] std::string address() const;

private:
    class Connection;
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<Handler> handler_;
};

/** Opens \p acceptor on \p address, given as "IP:port". */
absl::Status listenAt(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address);

} // namespace Figward
