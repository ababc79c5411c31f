#include "LineConnection.h"

#include "SocketOptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace Figward {

namespace {

constexpr std::size_t readSize = 4096;
/** The connection is closed if sent data stays unacknowledged for this long. */
constexpr std::chrono::milliseconds unacknowledgedLimit(4000);
/** Interval of TCP keep-alive probes on an idle connection, which detect a VM that stopped without closing the connection. */
constexpr int keepAliveSeconds = 10;
/** Time for the other side to read the last data sent and to close the connection; a responsive peer needs one round trip. */
constexpr std::chrono::milliseconds lingerTimeout(1000);

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
    setSocketOptions();
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
            self->end(LineConnectionEnd::Unreachable);
            return;
        }
        self->setSocketOptions();
        self->send(greeting);
        self->read();
    });
}

void LineConnection::setSocketOptions()
{
    boost::system::error_code ignored; // Without these options the connection still works but detects an unresponsive peer later.
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    limitUnacknowledgedTime(socket_, unacknowledgedLimit);
    const int handle = socket_.native_handle();
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
    boost::system::error_code ignored; // The socket is closed even if this reports an error.
    socket_.close(ignored);
    lingerTimer_.cancel();
    // Deferred because one of these callbacks may be running and have called close().
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
                                    self->end(LineConnectionEnd::Closed);
                                } else if (self->closing_) {
                                    self->discard();
                                } else {
                                    self->processLines();
                                }
                            });
}

void LineConnection::processLines()
{
    std::size_t start = 0;
    for (std::size_t end = incoming_.find("\r\n"); end != std::string::npos; end = incoming_.find("\r\n", start)) {
        if (end - start > lineLimit) {
            handleLineTooLong();
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
    constexpr std::size_t partialLineBreak = 1; // The CR of the line break may have been received already.
    if (incoming_.size() > lineLimit + partialLineBreak) {
        handleLineTooLong();
        return;
    }
    read();
}

void LineConnection::handleLineTooLong()
{
    const OnEnd onEnd = onEnd_;
    onEnd(LineConnectionEnd::TooLong);
    if (closing_) {
        discard();
    } else if (!closed_) {
        close();
    }
}

void LineConnection::discard()
{
    // Closing a socket with unread data resets the connection, and the other side then loses the last data sent to it.
    if (!closed_) {
        incoming_.clear();
        read();
    }
}

void LineConnection::linger()
{
    boost::system::error_code ignored; // If the other side has reset the connection, the pending read reports it.
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    lingerTimer_.expires_after(lingerTimeout);
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
            self->end(LineConnectionEnd::Closed);
            return;
        }
        self->write();
    });
}

void LineConnection::end(LineConnectionEnd reason)
{
    const bool ownerIsNotified = !closing_;
    const OnEnd onEnd = onEnd_;
    close();
    if (ownerIsNotified) {
        onEnd(reason);
    }
}

} // namespace Figward
