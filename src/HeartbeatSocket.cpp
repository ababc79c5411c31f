#include "HeartbeatSocket.h"

#include "Overloaded.h"
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
        return absl::InvalidArgumentError(absl::StrCat("not an IP address and port: ", address));
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
    sendTo(effect.address_, Wire::encodeHeartbeat(effect.heartbeat_));
}

void HeartbeatSocket::send(const SendAdmissionRequest &effect)
{
    sendTo(effect.address_, Wire::encodeAdmissionRequest(effect.request_));
}

void HeartbeatSocket::send(const SendAdmissionGrant &effect)
{
    sendTo(effect.address_, Wire::encodeAdmissionGrant(effect.grant_));
}

void HeartbeatSocket::send(const SendForwardedRead &effect)
{
    sendTo(effect.address_, Wire::encodeForwardedRead(effect.read_));
}

void HeartbeatSocket::send(const SendForwardedReadResult &effect)
{
    sendTo(effect.address_, Wire::encodeForwardedReadResult(effect.result_));
}

void HeartbeatSocket::sendTo(const std::string &address, const std::string &datagram)
{
    const std::optional<SocketAddress> parsed = parseSocketAddress(address);
    if (!parsed) {
        return;
    }
    boost::system::error_code error;
    // An error is ignored, like the loss of the datagram on the network: the next one is sent shortly.
    socket_.send_to(boost::asio::buffer(datagram), boost::asio::ip::udp::endpoint(parsed->ip_, parsed->port_), 0, error);
}

void HeartbeatSocket::handleDatagram(std::string_view datagram)
{
    const Overloaded handle{
        [&](VmHeartbeat &heartbeat) { events_.post(SessionEvent(HeartbeatReceived{std::move(heartbeat)})); },
        [&](AdmissionRequest &request) { events_.post(SessionEvent(std::move(request))); },
        [&](AdmissionGrant &grant) { events_.post(SessionEvent(std::move(grant))); },
        [&](ForwardedRead &read) { events_.post(SessionEvent(std::move(read))); },
        [&](ForwardedReadResult &result) { events_.post(SessionEvent(std::move(result))); },
    };
    if (std::optional<Wire::VmDatagram> decoded = Wire::decodeDatagram(datagram)) {
        std::visit(handle, *decoded);
    }
}

void HeartbeatSocket::receive()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            handleDatagram(std::string_view(buffer_.data(), size));
        }
        receive(); // An error is ignored: it reports (by ICMP) that another VM refused an earlier datagram.
    });
}

} // namespace Figward
