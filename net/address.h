// Addresses as "IP:PORT" text, the form in which they travel.

#ifndef FIREFLYROUTE_NET_ADDRESS_H
#define FIREFLYROUTE_NET_ADDRESS_H

#include "net/errors.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace fireflyroute::net {

[[nodiscard]] Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address);

// The IP of "IP:PORT"; the whole text if there is no port.
[[nodiscard]] std::string hostOf(const std::string &address);

} // namespace fireflyroute::net

#endif
