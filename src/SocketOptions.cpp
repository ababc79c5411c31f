#include "SocketOptions.h"

#include <netinet/tcp.h>

namespace Figward {

void limitUnacknowledgedTime(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit)
{
    const auto millis = static_cast<unsigned>(limit.count());
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis);
}

void resetOnClose(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored; // Fails only on a connection that has already ended.
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

} // namespace Figward
