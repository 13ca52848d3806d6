// Helpers that the connection classes of net/ share.
//
//   configureSocket(socket_);
//   readableWait_.start(socket_, [self = shared_from_this()] { self->onReadable(); });

#ifndef FIREFLYROUTE_NET_SOCKET_STEPS_H
#define FIREFLYROUTE_NET_SOCKET_STEPS_H

#include <boost/asio/ip/tcp.hpp>
#include <utility>

namespace fireflyroute::net {

// Disables Nagle's algorithm, so that small messages are sent immediately, and makes reads and
// writes non-blocking.
inline void configureSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
}

// Ensures that at most one wait for a readable socket is pending.
class ReadableWait
{
public:
    // Calls `onReadable` when the socket becomes readable. `onReadable` must keep the owner of this
    // object alive. Has no effect while a wait is pending.
    template<typename Readable>
    void start(boost::asio::ip::tcp::socket &socket, Readable onReadable)
    {
        if (std::exchange(waiting_, true))
            return;
        socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                          [this, onReadable](const boost::system::error_code &error) {
                              waiting_ = false;
                              if (!error)
                                  onReadable();
                          });
    }

private:
    bool waiting_ = false;
};

} // namespace fireflyroute::net

#endif
