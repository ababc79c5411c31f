/** \file
 * Defines a small HTTP/1.1 server for short answers, such as whether this VM is ready.
 */
#pragma once

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Figward {

/** What is answered. */
struct HttpAnswer
{
    unsigned status_ = 404;
    std::string body_; ///< JSON, or empty.
};

/** What is asked. */
struct HttpCall
{
    std::string method_;
    std::string target_;
    std::string body_;
};

/** Answers requests on the context's thread. */
class HttpListener
{
public:
    using Respond = std::function<void(HttpAnswer answer)>;
    /** Calls \p respond once, at once or later, on the context's thread. */
    using Handler = std::function<void(const HttpCall &call, Respond respond)>;

    HttpListener(boost::asio::io_context &context, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;
    /** Listens at "IP:port". Unavailable if that is taken. */
    absl::Status open(const std::string &address);
    /** Where it listens, with the port that was taken. */
    [[nodiscard]] std::string address() const;

private:
    class Connection;
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<Handler> handler_;
};

/** Opens \p acceptor at "IP:port". */
absl::Status listenAt(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address);

} // namespace Figward
