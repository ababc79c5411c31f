/** \file
 * Defines the UDP socket for heartbeats between VMs. Datagrams are used because there is no connection state that could be lost between two VMs unnoticed.
 */
#pragma once

#include "ShellPorts.h"

#include <absl/status/status.h>
#include <array>
#include <boost/asio/ip/udp.hpp>

namespace Figward {

/** Sends and receives datagrams on the context's thread. */
class HeartbeatSocket
{
public:
    HeartbeatSocket(boost::asio::io_context &context, EventSink &events);
    /** Binds to \p address, given as "IP:port". Returns Unavailable if the address is in use. */
    absl::Status open(const std::string &address);
    /** Sends a datagram; delivery is not guaranteed. */
    void send(const SendHeartbeat &effect);
    void send(const SendAdmissionRequest &effect);
    void send(const SendAdmissionGrant &effect);
    void send(const SendForwardedRead &effect);
    void send(const SendForwardedReadResult &effect);

private:
    void sendTo(const std::string &address, const std::string &datagram);
    void handleDatagram(std::string_view datagram);
    void receive();

    /** Maximum size of a received datagram, in bytes; enough for a heartbeat with a few hundred groups. */
    static constexpr std::size_t datagramLimit = 65536;

    EventSink &events_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::vector<char> buffer_;
};

} // namespace Figward
