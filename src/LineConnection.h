/** \file
 * Defines a TCP connection that carries lines ended by CR LF.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Figward {

/** Maximum length of a line in bytes, without CR LF. This bounds the messages of all protocols that run over lines. */
constexpr std::size_t lineLimit = std::size_t{1} << 20U;

/** Why a line connection ended. */
enum class LineConnectionEnd {
    Closed, ///< Closed by the other side or by a network failure.
    TooLong, ///< A line was longer than lineLimit. A final message may still be sent.
    Unreachable, ///< The connection could not be opened.
};

/** One connection; all its functions and callbacks run on its executor. */
class LineConnection : public std::enable_shared_from_this<LineConnection>
{
public:
    using OnLine = std::function<void(std::string_view line)>;
    using OnEnd = std::function<void(LineConnectionEnd end)>;

    explicit LineConnection(boost::asio::ip::tcp::socket socket);
    /**
     * Starts to read from a connection that is already open. Neither callback is called after close() or closeAfterSending(). After TooLong the owner has to
     * call one of these two; after any other reason the connection is already closed.
     */
    void start(OnLine onLine, OnEnd onEnd);
    /** Opens the connection, sends \p greeting and starts to read. */
    void connect(const boost::asio::ip::tcp::endpoint &to, std::string greeting, OnLine onLine, OnEnd onEnd);
    /** Sends \p text, which must end with CR LF. */
    void send(const std::string &text);
    /** Sends the pending data, then waits up to a second for the other side to close, and closes the connection. */
    void closeAfterSending();
    /** Closes the connection immediately. */
    void close();

private:
    void setSocketOptions();
    void read();
    void processLines();
    void handleLineTooLong();
    void linger();
    void discard();
    void write();
    void end(LineConnectionEnd reason);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer lingerTimer_;
    OnLine onLine_;
    OnEnd onEnd_;
    std::string incoming_; ///< Received data that is not yet a complete line.
    std::string outgoing_; ///< Data not yet passed to the socket.
    std::string writing_;
    bool isWriting_ = false;
    bool closing_ = false; ///< Set by closeAfterSending(); received data is then discarded.
    bool closed_ = false;
};

} // namespace Figward
