#include "HeartbeatSocket.h"

#include "SocketAddress.h"
#include "WireHeartbeat.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/buffer.hpp>

namespace Figward {

HeartbeatSocket::HeartbeatSocket(boost::asio::io_context &context, EventSink &events)
    : events_(events)
    , socket_(context)
    , buffer_(datagramLimit)
{
}

absl::Status HeartbeatSocket::open(const std::string &address)
{
    const std::optional<SocketAddress> parsed = parseSocketAddress(address);
    if (!parsed) {
        return absl::InvalidArgumentError(absl::StrCat("no IP address and port: ", address));
    }
    const boost::asio::ip::udp::endpoint endpoint(parsed->ip_, parsed->port_);
    boost::system::error_code error;
    socket_.open(endpoint.protocol(), error);
    if (!error) {
        socket_.bind(endpoint, error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        return absl::UnavailableError(absl::StrCat("cannot listen for heartbeats at ", address, ": ", error.message()));
    }
    receive();
    return absl::OkStatus();
}

void HeartbeatSocket::send(const SendHeartbeat &effect)
{
    const std::optional<SocketAddress> parsed = parseSocketAddress(effect.address_);
    if (!parsed) {
        return;
    }
    const std::string datagram = Wire::encodeHeartbeat(effect.heartbeat_);
    boost::system::error_code error;
    // A datagram that cannot be sent now is as good as lost on the way: the next one follows in a moment.
    socket_.send_to(boost::asio::buffer(datagram), boost::asio::ip::udp::endpoint(parsed->ip_, parsed->port_), 0, error);
}

void HeartbeatSocket::receive()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            if (std::optional<VmHeartbeat> heartbeat = Wire::decodeHeartbeat(std::string_view(buffer_.data(), size))) {
                events_.post(SessionEvent(HeartbeatReceived{*std::move(heartbeat)}));
            }
        }
        receive(); // An error here is the echo of a datagram that another VM refused.
    });
}

} // namespace Figward
