// Parsing of "IP:PORT" addresses.

#include "net/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>

namespace fireflyroute::net {

Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return NetFailure{NetError::Malformed, "'" + address + "' is not an IP:PORT address"};
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
        return NetFailure{NetError::Malformed, "'" + address + "' is not an IP:PORT address"};
    return boost::asio::ip::tcp::endpoint(ip, port);
}

std::string formatAddress(const boost::asio::ip::tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace fireflyroute::net
