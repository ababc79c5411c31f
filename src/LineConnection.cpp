#include "LineConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace Figward {

namespace {

constexpr std::size_t readSize = 4096;
/** Sent data that is not acknowledged for this long ends the connection: packets to a VM that is gone would be repeated for minutes. */
constexpr int unacknowledgedLimitMillis = 4000;
/** An idle connection is probed after this long, so that the end of a VM without a word is noticed. */
constexpr int keepAliveSeconds = 10;
/** The other side has this long to read what was sent last and to close; a live one needs a round trip. */
constexpr std::chrono::milliseconds lingerTime(1000);

} // namespace

LineConnection::LineConnection(boost::asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
    , lingerTimer_(socket_.get_executor())
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
    write();
}

void LineConnection::close()
{
    closed_ = true;
    boost::system::error_code ignored; // Nothing is left to lose.
    socket_.close(ignored);
    lingerTimer_.cancel();
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
                                } else if (self->closing_) {
                                    self->discard();
                                } else {
                                    self->takeLines();
                                }
                            });
}

void LineConnection::takeLines()
{
    std::size_t start = 0;
    for (std::size_t end = incoming_.find("\r\n"); end != std::string::npos; end = incoming_.find("\r\n", start)) {
        if (end - start > lineLimit) {
            takeTooLong();
            return;
        }
        onLine_(std::string_view(incoming_).substr(start, end - start));
        if (closed_ || closing_) {
            discard();
            return;
        }
        start = end + 2;
    }
    incoming_.erase(0, start);
    constexpr std::size_t halfOfTheEnd = 1; // The CR may be there already.
    if (incoming_.size() > lineLimit + halfOfTheEnd) {
        takeTooLong();
        return;
    }
    read();
}

void LineConnection::takeTooLong()
{
    const OnEnd onEnd = onEnd_;
    onEnd(LineEnd::TooLong);
    if (closing_) {
        discard();
    } else if (!closed_) {
        close();
    }
}

void LineConnection::discard()
{
    // A connection that is closed over bytes it has not read is reset, and the reset takes what was sent last with it.
    if (!closed_) {
        incoming_.clear();
        read();
    }
}

void LineConnection::linger()
{
    boost::system::error_code ignored; // The other side may have reset the connection; reading tells.
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    lingerTimer_.expires_after(lingerTime);
    lingerTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->closed_) {
            self->close();
        }
    });
}

void LineConnection::write()
{
    if (isWriting_ || closed_) {
        return;
    }
    if (outgoing_.empty()) {
        if (closing_) {
            linger();
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
    const bool awaited = !closing_;
    const OnEnd onEnd = onEnd_;
    close();
    if (awaited) {
        onEnd(reason);
    }
}

} // namespace Figward
