// Steps that the connections of this folder share.
//
//   prepare(socket_);
//   wait_.start(socket_, [self = shared_from_this()] { self->onReadable(); });

#ifndef FIREFLYROUTE_NET_SOCKET_STEPS_H
#define FIREFLYROUTE_NET_SOCKET_STEPS_H

#include <boost/asio/ip/tcp.hpp>
#include <utility>

namespace fireflyroute::net {

// Small messages leave at once, and reads and writes never block.
inline void prepare(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
}

// At most one wait for a socket to become readable.
class ReadableWait
{
public:
    // `readable` keeps the owner of this object alive. Without effect while a wait is under way.
    template<typename Readable>
    void start(boost::asio::ip::tcp::socket &socket, Readable readable)
    {
        if (std::exchange(waiting_, true))
            return;
        socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                          [this, readable](const boost::system::error_code &error) {
                              waiting_ = false;
                              if (!error)
                                  readable();
                          });
    }

private:
    bool waiting_ = false;
};

} // namespace fireflyroute::net

#endif
