// Parsing of "IP:PORT" text, the form in which addresses are configured and sent.

#ifndef FIREFLYROUTE_NET_ADDRESS_H
#define FIREFLYROUTE_NET_ADDRESS_H

#include "net/errors.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace fireflyroute::net {

[[nodiscard]] Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address);

// The inverse of parseAddress.
[[nodiscard]] std::string formatAddress(const boost::asio::ip::tcp::endpoint &endpoint);

// Returns the host of "HOST:PORT", or the complete text if it contains no port.
[[nodiscard]] std::string hostOf(const std::string &address);

} // namespace fireflyroute::net

#endif
