// Helpers that the connection classes of net/ share.
//
//   configureSocket(socket_);
//   readableWait_.start(socket_, [self = shared_from_this()] { self->onReadable(); });
//   if (!takeSocketError(socket_) && unacknowledgedBytes(socket_) == 0) // the peer has everything

#ifndef FIREFLYROUTE_NET_SOCKET_STEPS_H
#define FIREFLYROUTE_NET_SOCKET_STEPS_H

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace fireflyroute::net {

// Time after the end of a peer's bytes in which a peer that is gone resets the connection for what
// it is still being sent: the round trip of one more segment, with a lost packet. A peer that has
// not done so has ended its side only.
constexpr std::chrono::milliseconds kResetTimeout{1000};

// Disables Nagle's algorithm, so that small messages are sent immediately, and makes reads and
// writes non-blocking.
inline void configureSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
}

// Returns and clears the error that the kernel has recorded for the connection. A reset that
// arrives behind the end of the peer's bytes shows only here: reads go on reporting the end.
[[nodiscard]] inline boost::system::error_code takeSocketError(boost::asio::ip::tcp::socket &socket)
{
    boost::asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR> recorded;
    boost::system::error_code error;
    socket.get_option(recorded, error);
    if (!error && recorded.value() != 0)
        error.assign(recorded.value(), boost::system::system_category());
    return error;
}

// Returns the number of written bytes that the peer's kernel has not acknowledged.
[[nodiscard]] inline std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket)
{
    int count = 0;
    const bool isKnown = ::ioctl(socket.native_handle(), SIOCOUTQ, &count) == 0;
    return isKnown ? static_cast<std::size_t>(count) : 0;
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
