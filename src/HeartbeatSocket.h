/** \file
 * Defines the socket over which VMs send each other heartbeats: datagrams, so that no connection can go silent between two VMs.
 */
#pragma once

#include "ShellPorts.h"

#include <absl/status/status.h>
#include <array>
#include <boost/asio/ip/udp.hpp>

namespace Figward {

/** Sends and receives on the context's thread. */
class HeartbeatSocket
{
public:
    HeartbeatSocket(boost::asio::io_context &context, EventSink &events);
    /** Binds to \p address, "IP:port". Unavailable if that is taken. */
    absl::Status open(const std::string &address);
    /** Send a datagram; whether it arrives is not known. */
    void send(const SendHeartbeat &effect);
    void send(const SendAdmissionRequest &effect);
    void send(const SendAdmissionGrant &effect);

private:
    void sendTo(const std::string &address, const std::string &datagram);
    void take(std::string_view datagram);
    void receive();

    /** Largest datagram that is taken; one of a few hundred groups. */
    static constexpr std::size_t datagramLimit = 65536;

    EventSink &events_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::vector<char> buffer_;
};

} // namespace Figward
