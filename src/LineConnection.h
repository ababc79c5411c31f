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

/** Size of the longest line in bytes, without its end: the longest message of the protocols that run over lines. */
constexpr std::size_t lineLimit = std::size_t{1} << 20U;

/** Why a line connection ended. */
enum class LineEnd {
    Closed, ///< By the other side, or by a failure of the network.
    TooLong, ///< A line was longer than lineLimit; something may still be sent.
    Unreachable, ///< The connection could not be opened.
};

/** One connection; all its functions and callbacks run on its executor. */
class LineConnection : public std::enable_shared_from_this<LineConnection>
{
public:
    using OnLine = std::function<void(std::string_view line)>;
    using OnEnd = std::function<void(LineEnd end)>;

    explicit LineConnection(boost::asio::ip::tcp::socket socket);
    /**
     * Reads from a connection that is open. Neither callback is called after close() or closeAfterSending(). After LineEnd::TooLong the owner still has to
     * call one of them; after other ends the connection is closed.
     */
    void start(OnLine onLine, OnEnd onEnd);
    /** Opens the connection, sends \p greeting, and reads. */
    void connect(const boost::asio::ip::tcp::endpoint &to, std::string greeting, OnLine onLine, OnEnd onEnd);
    /** Sends \p text, which ends with CR LF. */
    void send(const std::string &text);
    /** Ends the connection when what was sent before has gone out and the other side has closed, or has had a second to do so. */
    void closeAfterSending();
    /** Ends the connection at once. */
    void close();

private:
    void prepareSocket();
    void read();
    void takeLines();
    void takeTooLong();
    void linger();
    void discard();
    void write();
    void end(LineEnd reason);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer lingerTimer_;
    OnLine onLine_;
    OnEnd onEnd_;
    std::string incoming_; ///< Read and not yet a whole line.
    std::string outgoing_; ///< Not yet handed to the socket.
    std::string writing_;
    bool isWriting_ = false;
    bool closing_ = false; ///< What comes in is dropped.
    bool closed_ = false;
};

} // namespace Figward
