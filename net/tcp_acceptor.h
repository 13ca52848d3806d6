// Accepts TCP connections on one address, until it is stopped or the io_context ends.
//
//   BOOST_OUTCOME_TRY(listener, acceptConnections(io, "10.0.0.4:8227", onAccepted));
//   listener->stop();

#ifndef FIREFLYROUTE_NET_TCP_ACCEPTOR_H
#define FIREFLYROUTE_NET_TCP_ACCEPTOR_H

#include "net/errors.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace fireflyroute::net {

// Its pending operation keeps it alive.
class TcpListener : public std::enable_shared_from_this<TcpListener>
{
public:
    TcpListener(boost::asio::io_context &io,
                std::function<void(boost::asio::ip::tcp::socket)> onAccepted);

    Result<void> listen(const boost::asio::ip::tcp::endpoint &endpoint);
    void accept();

    // Takes no new connections. Those whose handshake has begun are still accepted; the listener
    // closes when there has been time for it to end.
    void stop();

    // Whether connections may still be accepted.
    [[nodiscard]] bool isOpen() const { return !closed_; }

private:
    void dropNewConnections();
    void close();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
    boost::asio::steady_timer closeTimer_;
    const std::function<void(boost::asio::ip::tcp::socket)> onAccepted_;
    bool stopped_ = false;
    bool closed_ = false; // not before stopped_
};

// Passes each new connection on "IP:PORT" to `onAccepted`. Fails if the address can't be bound.
[[nodiscard]] Result<std::shared_ptr<TcpListener>>
acceptConnections(boost::asio::io_context &io, const std::string &address,
                  std::function<void(boost::asio::ip::tcp::socket)> onAccepted);

} // namespace fireflyroute::net

#endif
