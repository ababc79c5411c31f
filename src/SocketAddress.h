/** \file
 * Defines the parser for addresses of the form "IP:port".
 */
#pragma once

#include <boost/asio/ip/address.hpp>
#include <optional>
#include <string>

namespace Figward {

/** An IP address and a port. */
struct SocketAddress
{
    boost::asio::ip::address ip_;
    unsigned short port_ = 0;
};

/** Parses "IP:port". Returns nothing if \p text is malformed. */
std::optional<SocketAddress> parseSocketAddress(const std::string &text);

} // namespace Figward
