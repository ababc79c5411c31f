#include "HttpListener.h"

#include "SocketAddress.h"

#include <absl/strings/str_cat.h>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace Figward {

namespace http = boost::beast::http;

namespace {

/** A connection is closed if it sends no request for this long, or if a response cannot be written within this time. */
constexpr std::chrono::seconds idleLimit(30);

} // namespace

/** The connection of one client, which handles one request at a time. */
class HttpListener::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<Handler> handler)
        : stream_(std::move(socket))
        , handler_(std::move(handler))
    {
    }

    void read()
    {
        request_ = {};
        stream_.expires_after(idleLimit);
        http::async_read(stream_, buffer_, request_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t /*size*/) {
            if (!error) {
                self->handleRequest();
            }
        });
    }

private:
    void handleRequest()
    {
        stream_.expires_never();
        const HttpServerRequest request{std::string(request_.method_string()), std::string(request_.target()), request_.body()};
        (*handler_)(request, [self = shared_from_this()](const HttpServerResponse &response) { self->write(response); });
    }

    void write(const HttpServerResponse &response)
    {
        response_ = {};
        response_.version(request_.version());
        response_.result(response.status_);
        response_.keep_alive(request_.keep_alive());
        if (!response.body_.empty()) {
            response_.set(http::field::content_type, "application/json");
        }
        response_.body() = response.body_;
        response_.prepare_payload();
        stream_.expires_after(idleLimit);
        auto onWritten = [self = shared_from_this(), held = response.untilWritten_](const boost::system::error_code &error, std::size_t /*size*/) mutable {
            held.reset();
            if (!error && self->response_.keep_alive()) {
                self->read();
            }
        };
        http::async_write(stream_, response_, std::move(onWritten));
    }

    boost::beast::tcp_stream stream_;
    std::shared_ptr<Handler> handler_;
    boost::beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
};

HttpListener::HttpListener(boost::asio::io_context &context, Handler handler)
    : acceptor_(context)
    , handler_(std::make_shared<Handler>(std::move(handler)))
{
}

HttpListener::~HttpListener()
{
    *handler_ = [](const HttpServerRequest & /*request*/, const Respond &respond) { respond(HttpServerResponse{503, {}}); };
}

absl::Status HttpListener::open(const std::string &address)
{
    if (absl::Status status = listenAt(acceptor_, address); !status.ok()) {
        return status;
    }
    accept();
    return absl::OkStatus();
}

std::string HttpListener::address() const
{
    const boost::asio::ip::tcp::endpoint endpoint = acceptor_.local_endpoint();
    return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

void HttpListener::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<Connection>(std::move(socket), handler_)->read();
        }
        accept();
    });
}

absl::Status listenAt(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address)
{
    const std::optional<SocketAddress> parsed = parseSocketAddress(address);
    if (!parsed) {
        return absl::InvalidArgumentError(absl::StrCat("not an IP address and port: ", address));
    }
    const boost::asio::ip::tcp::endpoint endpoint(parsed->ip_, parsed->port_);
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    return error ? absl::UnavailableError(absl::StrCat("cannot listen at ", address, ": ", error.message())) : absl::OkStatus();
}

} // namespace Figward
