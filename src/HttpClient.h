/** \file
 * Defines an HTTP/1.1 client for calls to one address: connections are kept for reuse, and one that gave no answer is never used again.
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

/** One request. */
struct HttpRequest
{
    std::string method_ = "GET";
    std::string target_; ///< Path and query.
    std::map<std::string, std::string> headers_;
    std::string body_; ///< JSON, if not empty.
    std::chrono::microseconds timeout_{};
    bool newConnection_ = false; ///< Does not reuse a kept one.
};

/** One answer. */
struct HttpResponse
{
    unsigned status_ = 0; ///< Zero: there was no answer, or no whole one.
    std::string body_;
};

/** Calls one address. Functions and callbacks run on the context's thread. */
class HttpClient
{
public:
    using OnResponse = std::function<void(HttpResponse response)>;
    using OnBegan = std::function<void()>;

    /** \p address is "IP:port". */
    HttpClient(boost::asio::io_context &context, std::string address);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    /** Calls \p onResponse once, at the latest when the time-out has passed, and before it \p onBegan, if given, when the head of an answer has come. */
    void call(HttpRequest request, OnResponse onResponse, OnBegan onBegan = nullptr);

private:
    class Connection;
    struct Shared;

    boost::asio::io_context &context_;
    std::shared_ptr<Shared> shared_;
};

} // namespace Figward
