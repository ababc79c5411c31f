/** \file
 * Defines an HTTP/1.1 client for calls to one address. Idle connections are reused; a connection on which a call failed is reset.
 *
 * A request reaches its server before its timeout or never: the reset discards what the kernel has not transmitted yet.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Figward {

/** An HTTP request to send. */
struct HttpRequest
{
    std::string method_ = "GET";
    std::string target_; ///< Path and query.
    std::map<std::string, std::string> headers_;
    std::string body_; ///< JSON, or empty.
    std::chrono::microseconds timeout_{};
    bool newConnection_ = false; ///< Opens a new connection instead of reusing an idle one.
};

/** The response to an HttpRequest. */
struct HttpResponse
{
    unsigned status_ = 0; ///< Zero if there was no complete response.
    std::string body_;
};

/** HTTP client for one address. Functions and callbacks run on the context's thread. */
class HttpClient
{
public:
    using OnResponse = std::function<void(HttpResponse response)>;
    using OnHeader = std::function<void()>;

    /** \p address is "IP:port". */
    HttpClient(boost::asio::io_context &context, std::string address);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    /** Sends \p request. Calls \p onHeader, if given, when the header of the response has been received, and \p onResponse once, no later than the timeout. */
    void call(HttpRequest request, OnResponse onResponse, OnHeader onHeader = nullptr);

private:
    class Connection;
    struct Shared;

    boost::asio::io_context &context_;
    std::shared_ptr<Shared> shared_;
};

} // namespace Figward
