/** \file
 * Defines the reading of "IP:port" texts.
 */
#pragma once

#include <boost/asio/ip/address.hpp>
#include <optional>
#include <string>

namespace Figward {

/** An IP number and a port. */
struct SocketAddress
{
    boost::asio::ip::address ip_;
    unsigned short port_ = 0;
};

/** Reads "IP:port"; nothing if \p text is anything else. */
std::optional<SocketAddress> parseSocketAddress(const std::string &text);

} // namespace Figward
