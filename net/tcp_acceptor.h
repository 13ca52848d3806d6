// Accepts TCP connections on one address for as long as the io_context runs.

#ifndef FIREFLYROUTE_NET_TCP_ACCEPTOR_H
#define FIREFLYROUTE_NET_TCP_ACCEPTOR_H

#include "net/errors.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace fireflyroute::net {

// Passes each new connection on "IP:PORT" to `onAccepted`. Fails if the address can't be bound.
[[nodiscard]] Result<void>
acceptConnections(boost::asio::io_context &io, const std::string &address,
                  std::function<void(boost::asio::ip::tcp::socket)> onAccepted);

} // namespace fireflyroute::net

#endif
