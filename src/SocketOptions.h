/** \file
 * Defines socket options that limit what the kernel does with sent data after the connection is given up.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace Figward {

/** Closes the connection if sent data stays unacknowledged for \p limit, also while this process does not run. By default the kernel retransmits for minutes. */
void limitUnacknowledgedTime(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit);
/**
 * Makes each close of \p socket, also the one at the end of the process, reset the connection. After a plain close the kernel goes on to transmit what was
 * written, so a request that a network partition holds up would arrive long after its sender has given it up.
 */
void resetOnClose(boost::asio::ip::tcp::socket &socket);

} // namespace Figward
