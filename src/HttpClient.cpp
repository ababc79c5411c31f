#include "HttpClient.h"

#include "SocketAddress.h"
#include "SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Figward {

namespace http = boost::beast::http;

namespace {

/** Maximum size of a response body. An object of the platform has at most a megabyte, and a list of objects about as much. */
constexpr std::uint64_t bodyLimit = std::uint64_t{8} << 20U;
/** Maximum number of idle connections kept open for reuse. */
constexpr std::size_t maxIdleConnections = 3;

} // namespace

struct HttpClient::Shared
{
    std::string address_;
    std::vector<std::shared_ptr<Connection>> idle_;
    bool clientDestroyed_ = false;

    /**
     * Closes the idle connections without a response since \p callStart, the start of a call that timed out. They may be unresponsive for the same reason, and
     * one call after the other would then time out on them.
     */
    void closeIfNoResponseSince(std::chrono::steady_clock::time_point callStart);
};

/** One connection, with at most one call in flight. */
class HttpClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(boost::asio::io_context &context, std::shared_ptr<Shared> shared)
        : shared_(std::move(shared))
        , stream_(context)
    {
    }

    void run(HttpRequest request, OnResponse onResponse, OnHeader onHeader)
    {
        onResponse_ = std::move(onResponse);
        onHeader_ = std::move(onHeader);
        message_ = {};
        message_.version(11);
        message_.method_string(request.method_);
        message_.target(request.target_);
        message_.set(http::field::host, shared_->address_);
        for (const auto &[name, value] : request.headers_) {
            message_.set(name, value);
        }
        if (!request.body_.empty()) {
            message_.set(http::field::content_type, "application/json");
        }
        message_.body() = std::move(request.body_);
        message_.prepare_payload();
        callStart_ = std::chrono::steady_clock::now();
        timeout_ = std::chrono::duration_cast<std::chrono::milliseconds>(request.timeout_);
        stream_.expires_after(timeout_);
        if (connected_) {
            write();
        } else {
            connect();
        }
    }

private:
    void connect()
    {
        const std::optional<SocketAddress> address = parseSocketAddress(shared_->address_);
        if (!address) {
            boost::asio::post(stream_.get_executor(), [self = shared_from_this()] { self->finish({}, false); });
            return;
        }
        stream_.async_connect(boost::asio::ip::tcp::endpoint(address->ip_, address->port_),
                              [self = shared_from_this()](const boost::system::error_code &error) {
                                  if (error) {
                                      self->fail(error);
                                      return;
                                  }
                                  self->connected_ = true;
                                  boost::system::error_code ignored; // Without this option calls are only slower.
                                  self->stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
                                  resetOnClose(self->stream_.socket());
                                  self->write();
                              });
    }

    void write()
    {
        limitUnacknowledgedTime(stream_.socket(), timeout_);
        http::async_write(stream_, message_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t /*size*/) {
            if (error) {
                self->fail(error);
            } else {
                self->read();
            }
        });
    }

    void read()
    {
        parser_ = std::make_unique<http::response_parser<http::string_body>>();
        parser_->body_limit(bodyLimit);
        http::async_read_header(stream_, buffer_, *parser_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t /*size*/) {
            if (error) {
                self->fail(error);
                return;
            }
            if (const OnHeader onHeader = std::exchange(self->onHeader_, nullptr); onHeader && !self->shared_->clientDestroyed_) {
                onHeader();
            }
            self->readBody();
        });
    }

    void readBody()
    {
        http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t /*size*/) {
            if (error) {
                self->fail(error);
                return;
            }
            HttpResponse response{self->parser_->get().result_int(), std::move(self->parser_->get().body())};
            self->finish(std::move(response), self->parser_->get().keep_alive());
        });
    }

    void fail(const boost::system::error_code &error)
    {
        if (error == boost::beast::error::timeout) {
            shared_->closeIfNoResponseSince(callStart_);
        }
        finish({}, false);
    }

    void finish(HttpResponse response, bool reusable)
    {
        stream_.expires_never();
        lastCallEnd_ = std::chrono::steady_clock::now();
        if (reusable && shared_->idle_.size() < maxIdleConnections && !shared_->clientDestroyed_) {
            shared_->idle_.push_back(shared_from_this());
        } else {
            stream_.close();
        }
        const OnResponse onResponse = std::exchange(onResponse_, nullptr);
        if (!shared_->clientDestroyed_) {
            onResponse(std::move(response));
        }
    }

    std::shared_ptr<Shared> shared_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    http::request<http::string_body> message_;
    std::unique_ptr<http::response_parser<http::string_body>> parser_;
    OnResponse onResponse_;
    OnHeader onHeader_;
    std::chrono::steady_clock::time_point callStart_; ///< Start of the current call.
    std::chrono::milliseconds timeout_{}; ///< Of the current call.
    std::chrono::steady_clock::time_point lastCallEnd_; ///< When the last call ended.
    bool connected_ = false;

    friend struct Shared;
};

void HttpClient::Shared::closeIfNoResponseSince(std::chrono::steady_clock::time_point callStart)
{
    std::erase_if(idle_, [&](const std::shared_ptr<Connection> &connection) { return connection->lastCallEnd_ < callStart; });
}

HttpClient::HttpClient(boost::asio::io_context &context, std::string address)
    : context_(context)
    , shared_(std::make_shared<Shared>())
{
    shared_->address_ = std::move(address);
}

HttpClient::~HttpClient()
{
    shared_->clientDestroyed_ = true;
    shared_->idle_.clear();
}

void HttpClient::call(HttpRequest request, OnResponse onResponse, OnHeader onHeader)
{
    std::shared_ptr<Connection> connection;
    if (request.newConnection_ || shared_->idle_.empty()) {
        connection = std::make_shared<Connection>(context_, shared_);
    } else {
        connection = std::move(shared_->idle_.back());
        shared_->idle_.pop_back();
    }
    connection->run(std::move(request), std::move(onResponse), std::move(onHeader));
}

} // namespace Figward
