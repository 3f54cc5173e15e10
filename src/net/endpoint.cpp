#include <charconv>

#include "net/http_client.hpp"

namespace barrowrun::net {

std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& address, bool any_port) {
    auto colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    boost::system::error_code ec;
    auto ip = asio::ip::make_address(address.substr(0, colon), ec);
    unsigned port = 0;
    auto [p, err] = std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    if (ec || err != std::errc{} || p != address.data() + address.size() || (port == 0 && !any_port) ||
        port > 65535)
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port));
}

}  // namespace barrowrun::net
