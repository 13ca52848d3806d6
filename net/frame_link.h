// A connection between own processes that carries frames: a length and that many bytes. One side
// dials and dials again whenever the connection is lost; the other side accepts.
//
//   auto link = std::make_shared<FrameLink>(io, handlers);
//   link->dial("10.0.0.4:7340");
//   link->send(bytes);                        // dropped while there is no connection
//
// Runs on one io_context thread. A peer that takes no bytes any more is given up after
// kSilenceTimeout, by the kernel.

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
    std::function<void(FrameLink &)> opened;
    std::function<void(FrameLink &, std::string_view)> frame;
    std::function<void(FrameLink &)> lost;
};

class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
    FrameLink(boost::asio::io_context &io, FrameHandlers handlers);

    // Connects, and again after each loss until stop().
    void dial(boost::asio::ip::tcp::endpoint peer);

    // Takes over an accepted connection.
    void adopt(boost::asio::ip::tcp::socket socket);

    // Sends a frame, in order. Dropped without a connection, or when too much waits already; then
    // the connection is closed, so that the peer notices the gap.
    void send(std::string_view frame);

    // Drops the connection; a dialled one is dialled again.
    void reset();

    // Drops the connection for good and calls no handler any more.
    void stop();

    [[nodiscard]] bool isOpen() const { return open_; }

private:
    void connect();
    void retryLater();
    void start();
    void awaitReadable();
    void onReadable();
    void takeFrames();
    void writeNext();
    void lose();

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    FrameHandlers handlers_;
    boost::asio::ip::tcp::endpoint peer_;
    std::string input_; // less than one frame, after takeFrames()
    std::string output_; // waits while outgoing_ is written
    std::string outgoing_;
    std::uint64_t generation_ = 0; // of the connection; operations of earlier ones are ignored
    bool dials_ = false;
    bool connecting_ = false;
    bool open_ = false;
    bool writing_ = false;
    bool stopped_ = false;
};

// Accepts links on "IP:PORT" for as long as the io_context runs. `accepted` gets each new link
// before its first frame.
[[nodiscard]] Result<void>
acceptLinks(boost::asio::io_context &io, const std::string &address, const FrameHandlers &handlers,
            std::function<void(const std::shared_ptr<FrameLink> &)> accepted);

} // namespace fireflyroute::net

#endif
