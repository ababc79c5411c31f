#include "SocketAddress.h"

#include <charconv>

namespace Figward {

std::optional<SocketAddress> parseSocketAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    SocketAddress address;
    boost::system::error_code error;
    address.ip_ = boost::asio::ip::make_address(host, error);
    const char *end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data() + colon + 1, end, address.port_);
    if (error || failure != std::errc() || stop != end) {
        return std::nullopt;
    }
    return address;
}

} // namespace Figward
