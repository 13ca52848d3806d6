// A connection between two processes of this system that carries length-prefixed frames. One side
// connects, and reconnects whenever the connection is lost; the other side accepts.
//
//   auto link = std::make_shared<FrameLink>(io, handlers);
//   link->dial(parseAddress("10.0.0.4:7340").value());
//   link->send(bytes);                        // dropped while there is no connection
//
// Runs on one io_context thread. The kernel closes the connection if the peer does not acknowledge
// sent bytes within kUnacknowledgedTimeoutMs.

#ifndef FIREFLYROUTE_NET_FRAME_LINK_H
#define FIREFLYROUTE_NET_FRAME_LINK_H

#include "net/errors.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fireflyroute::net {

class FrameLink;

struct FrameHandlers
{
    std::function<void(FrameLink &)> onConnected;
    std::function<void(FrameLink &, std::string_view)> onFrame; // valid during the call
    std::function<void(FrameLink &)> onDisconnected;
};

class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
    FrameLink(boost::asio::io_context &io, FrameHandlers handlers);

    // Connects, and reconnects after each loss of the connection until stop().
    void dial(boost::asio::ip::tcp::endpoint peer);

    // Takes ownership of an accepted connection.
    void adopt(boost::asio::ip::tcp::socket socket);

    // Sends a frame; frames keep their order. Without a connection the frame is dropped. If too
    // many bytes are queued already, the connection is closed as well, so that the peer detects the
    // gap.
    void send(std::string_view frame);

    // Closes the connection. The side that connects reconnects.
    void reset();

    // Closes the connection permanently. No handler is called afterwards.
    void stop();

    [[nodiscard]] bool isOpen() const { return open_; }

    // Number of bytes received over all connections, incomplete frames included.
    [[nodiscard]] std::uint64_t receivedTotal() const { return receivedTotal_; }

private:
    void connect();
    void scheduleReconnect();
    void start();
    void awaitReadable();
    void onReadable();
    void handleFrames();
    void writeNext();
    void disconnect();

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    FrameHandlers handlers_;
    boost::asio::ip::tcp::endpoint peer_;
    std::string receivedBytes_; // an incomplete frame at most, after handleFrames()
    std::string queuedBytes_; // frames queued while bytesInWrite_ is written
    std::string bytesInWrite_;
    std::uint64_t receivedTotal_ = 0;
    // Number of the connection; completions of operations on earlier connections are ignored.
    std::uint64_t generation_ = 0;
    bool isDialer_ = false;
    bool connecting_ = false;
    bool open_ = false;
    bool writing_ = false;
    bool isOverfull_ = false; // too many bytes are queued; the link is about to be closed
    bool stopped_ = false;
};

// Accepts links on "IP:PORT" for as long as the io_context runs. `onAccepted` receives each new
// link before its first frame.
[[nodiscard]] Result<void>
acceptLinks(boost::asio::io_context &io, const std::string &address, const FrameHandlers &handlers,
            std::function<void(const std::shared_ptr<FrameLink> &)> onAccepted);

} // namespace fireflyroute::net

#endif
