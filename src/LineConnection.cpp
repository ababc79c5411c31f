#include "LineConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace Figward {

namespace {

/** The longest message of the protocols that run over lines. */
constexpr std::size_t lineLimit = std::size_t{1} << 20U;
constexpr std::size_t readSize = 4096;
/** Sent data that is not acknowledged for this long ends the connection: packets to a VM that is gone would be repeated for minutes. */
constexpr int unacknowledgedLimitMillis = 4000;
/** An idle connection is probed after this long, so that the end of a VM without a word is noticed. */
constexpr int keepAliveSeconds = 10;

} // namespace

LineConnection::LineConnection(boost::asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
{
}

void LineConnection::start(OnLine onLine, OnEnd onEnd)
{
    onLine_ = std::move(onLine);
    onEnd_ = std::move(onEnd);
    prepareSocket();
    read();
}

void LineConnection::connect(const boost::asio::ip::tcp::endpoint &to, std::string greeting, OnLine onLine, OnEnd onEnd)
{
    onLine_ = std::move(onLine);
    onEnd_ = std::move(onEnd);
    socket_.async_connect(to, [self = shared_from_this(), greeting = std::move(greeting)](const boost::system::error_code &error) {
        if (self->closed_) {
            return;
        }
        if (error) {
            self->end(LineEnd::Unreachable);
            return;
        }
        self->prepareSocket();
        self->send(greeting);
        self->read();
    });
}

void LineConnection::prepareSocket()
{
    boost::system::error_code ignored; // Without these options the connection works, and only notices silence later.
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int handle = socket_.native_handle();
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedLimitMillis, sizeof unacknowledgedLimitMillis);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveSeconds, sizeof keepAliveSeconds);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveSeconds, sizeof keepAliveSeconds);
}

void LineConnection::send(const std::string &text)
{
    if (closed_) {
        return;
    }
    outgoing_ += text;
    write();
}

void LineConnection::closeAfterSending()
{
    closing_ = true;
    if (!isWriting_ && outgoing_.empty()) {
        close();
    }
}

void LineConnection::close()
{
    closed_ = true;
    boost::system::error_code ignored; // Nothing is left to lose.
    socket_.close(ignored);
    // Deferred: a callback that closes the connection is still running.
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->onLine_ = nullptr;
        self->onEnd_ = nullptr;
    });
}

void LineConnection::read()
{
    const std::size_t before = incoming_.size();
    incoming_.resize(before + readSize);
    socket_.async_read_some(boost::asio::buffer(incoming_.data() + before, readSize),
                            [self = shared_from_this(), before](const boost::system::error_code &error, std::size_t size) {
                                self->incoming_.resize(before + size);
                                if (self->closed_) {
                                    return;
                                }
                                if (error) {
                                    self->end(LineEnd::Closed);
                                    return;
                                }
                                self->takeLines();
                            });
}

void LineConnection::takeLines()
{
    std::size_t start = 0;
    for (std::size_t end = incoming_.find("\r\n"); end != std::string::npos && !closed_; end = incoming_.find("\r\n", start)) {
        onLine_(std::string_view(incoming_).substr(start, end - start));
        start = end + 2;
    }
    if (closed_) {
        return;
    }
    incoming_.erase(0, start);
    if (incoming_.size() > lineLimit) {
        end(LineEnd::TooLong);
        return;
    }
    read();
}

void LineConnection::write()
{
    if (isWriting_ || closed_) {
        return;
    }
    if (outgoing_.empty()) {
        if (closing_) {
            close();
        }
        return;
    }
    isWriting_ = true;
    writing_.swap(outgoing_);
    outgoing_.clear();
    boost::asio::async_write(socket_, boost::asio::buffer(writing_), [self = shared_from_this()](const boost::system::error_code &error, std::size_t /*size*/) {
        self->isWriting_ = false;
        self->writing_.clear();
        if (self->closed_) {
            return;
        }
        if (error) {
            self->end(LineEnd::Closed);
            return;
        }
        self->write();
    });
}

void LineConnection::end(LineEnd reason)
{
    const OnEnd onEnd = onEnd_;
    close();
    onEnd(reason);
}

} // namespace Figward
