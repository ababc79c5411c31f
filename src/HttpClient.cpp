#include "HttpClient.h"

#include "SocketAddress.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Figward {

namespace http = boost::beast::http;

namespace {

/** Largest body that is taken: an object of the platform is a megabyte at most, a list of them about that. */
constexpr std::uint64_t bodyLimit = std::uint64_t{8} << 20U;
/** Idle connections that are kept to one address. */
constexpr std::size_t keptConnections = 3;

} // namespace

struct HttpClient::Shared
{
    std::string address_;
    std::vector<std::shared_ptr<Connection>> idle_;
    bool ended_ = false;

    /** A call begun then had no answer in time: connections that have answered nothing since may be silent for the same reason, and would let one call after the other hang. */
    void closeSilentSince(std::chrono::steady_clock::time_point begun);
};

/** One connection, and at most one call on it. */
class HttpClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(boost::asio::io_context &context, std::shared_ptr<Shared> shared)
        : shared_(std::move(shared))
        , stream_(context)
    {
    }

    void run(HttpRequest request, OnResponse onResponse, OnBegan onBegan)
    {
        onResponse_ = std::move(onResponse);
        onBegan_ = std::move(onBegan);
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
        begun_ = std::chrono::steady_clock::now();
        stream_.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(request.timeout_));
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
                                  boost::system::error_code ignored; // Slower at worst.
                                  self->stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
                                  self->write();
                              });
    }

    void write()
    {
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
            if (const OnBegan onBegan = std::exchange(self->onBegan_, nullptr); onBegan && !self->shared_->ended_) {
                onBegan();
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
            shared_->closeSilentSince(begun_);
        }
        finish({}, false);
    }

    void finish(HttpResponse response, bool reusable)
    {
        stream_.expires_never();
        answered_ = std::chrono::steady_clock::now();
        if (reusable && shared_->idle_.size() < keptConnections && !shared_->ended_) {
            shared_->idle_.push_back(shared_from_this());
        } else {
            stream_.close();
        }
        const OnResponse onResponse = std::exchange(onResponse_, nullptr);
        if (!shared_->ended_) {
            onResponse(std::move(response));
        }
    }

    std::shared_ptr<Shared> shared_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    http::request<http::string_body> message_;
    std::unique_ptr<http::response_parser<http::string_body>> parser_;
    OnResponse onResponse_;
    OnBegan onBegan_;
    std::chrono::steady_clock::time_point begun_; ///< Of the present call.
    std::chrono::steady_clock::time_point answered_; ///< When the last call ended.
    bool connected_ = false;

    friend struct Shared;
};

void HttpClient::Shared::closeSilentSince(std::chrono::steady_clock::time_point begun)
{
    std::erase_if(idle_, [&](const std::shared_ptr<Connection> &connection) { return connection->answered_ < begun; });
}

HttpClient::HttpClient(boost::asio::io_context &context, std::string address)
    : context_(context)
    , shared_(std::make_shared<Shared>())
{
    shared_->address_ = std::move(address);
}

HttpClient::~HttpClient()
{
    shared_->ended_ = true;
    shared_->idle_.clear();
}

void HttpClient::call(HttpRequest request, OnResponse onResponse, OnBegan onBegan)
{
    std::shared_ptr<Connection> connection;
    if (request.newConnection_ || shared_->idle_.empty()) {
        connection = std::make_shared<Connection>(context_, shared_);
    } else {
        connection = std::move(shared_->idle_.back());
        shared_->idle_.pop_back();
    }
    connection->run(std::move(request), std::move(onResponse), std::move(onBegan));
}

} // namespace Figward
