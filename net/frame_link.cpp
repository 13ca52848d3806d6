// Framed connections between own processes.

#include "net/frame_link.h"

#include "net/socket_steps.h"
#include "net/tcp_acceptor.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <chrono>
#include <cstring>
#include <netinet/tcp.h>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 16U << 10U;
constexpr std::size_t kHeaderBytes = 4;

// Larger frames are refused; a configuration of thousands of routes takes some hundred KiB.
constexpr std::uint32_t kMaxFrameBytes = 16U << 20U;

// Bytes that may wait for a slow peer.
constexpr std::size_t kMaxQueuedBytes = 24U << 20U;

constexpr std::chrono::milliseconds kConnectTimeout{700};
constexpr std::chrono::milliseconds kRedialPause{200};

// Unacknowledged bytes for so long mean that the peer or the path is gone. Well above a round trip
// between regions with a lost packet.
constexpr int kSilenceTimeoutMs = 1500;

} // namespace

FrameLink::FrameLink(asio::io_context &io, FrameHandlers handlers)
    : io_(io)
    , socket_(io)
    , timer_(io)
    , handlers_(std::move(handlers))
{}

void FrameLink::dial(tcp::endpoint peer)
{
    peer_ = std::move(peer);
    dials_ = true;
    connect();
}

void FrameLink::adopt(tcp::socket socket)
{
    socket_ = std::move(socket);
    start();
}

void FrameLink::connect()
{
    if (stopped_ || connecting_ || open_)
        return;
    connecting_ = true;
    const std::uint64_t generation = ++generation_;
    socket_ = tcp::socket(io_);
    timer_.expires_after(kConnectTimeout);
    timer_.async_wait([self = shared_from_this(), generation](const error_code &error) {
        if (!error && self->generation_ == generation && self->connecting_)
            self->retryLater();
    });
    socket_.async_connect(peer_, [self = shared_from_this(), generation](const error_code &error) {
        if (self->generation_ != generation || !self->connecting_)
            return;
        if (error)
            self->retryLater();
        else
            self->start();
    });
}

void FrameLink::retryLater()
{
    connecting_ = false;
    ++generation_;
    error_code ignored;
    socket_.close(ignored);
    timer_.expires_after(kRedialPause);
    timer_.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error)
            self->connect();
    });
}

void FrameLink::start()
{
    connecting_ = false;
    timer_.cancel();
    prepare(socket_);
    error_code ignored;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket_.set_option(UserTimeout(kSilenceTimeoutMs), ignored);
    open_ = true;
    input_.clear();
    output_.clear();
    writing_ = false;
    if (handlers_.opened)
        handlers_.opened(*this);
    awaitReadable();
}

void FrameLink::awaitReadable()
{
    if (!open_)
        return;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(),
                                                generation = generation_](const error_code &error) {
        if (!error && self->open_ && self->generation_ == generation)
            self->onReadable();
    });
}

void FrameLink::onReadable()
{
    std::array<char, kReadBytes> buffer;
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        lose();
        return;
    }
    input_.append(buffer.data(), count);
    takeFrames();
    awaitReadable();
}

void FrameLink::takeFrames()
{
    const std::uint64_t generation = generation_;
    std::size_t at = 0;
    while (input_.size() - at >= kHeaderBytes) {
        const auto *header = reinterpret_cast<const unsigned char *>(input_.data() + at);
        const std::uint32_t size = boost::endian::load_little_u32(header);
        if (size > kMaxFrameBytes) {
            lose();
            return;
        }
        if (input_.size() - at - kHeaderBytes < size)
            break;
        const std::string frame = input_.substr(at + kHeaderBytes, size);
        at += kHeaderBytes + size;
        handlers_.frame(*this, frame);
        if (!open_ || generation_ != generation)
            return;
    }
    input_.erase(0, at);
}

void FrameLink::send(std::string_view frame)
{
    if (!open_)
        return;
    if (output_.size() + frame.size() > kMaxQueuedBytes) {
        lose();
        return;
    }
    std::array<unsigned char, kHeaderBytes> header;
    boost::endian::store_little_u32(header.data(), static_cast<std::uint32_t>(frame.size()));
    output_.append(reinterpret_cast<const char *>(header.data()), header.size());
    output_.append(frame);
    if (!writing_)
        writeNext();
}

void FrameLink::writeNext()
{
    writing_ = true;
    outgoing_ = std::exchange(output_, {});
    asio::async_write(socket_, asio::buffer(outgoing_),
                      [self = shared_from_this(), generation = generation_](const error_code &error,
                                                                            std::size_t) {
                          if (self->generation_ != generation || !self->open_)
                              return;
                          self->writing_ = false;
                          if (error)
                              self->lose();
                          else if (!self->output_.empty())
                              self->writeNext();
                      });
}

void FrameLink::reset()
{
    if (open_)
        lose();
}

void FrameLink::lose()
{
    open_ = false;
    ++generation_;
    error_code ignored;
    socket_.close(ignored);
    if (stopped_)
        return;
    if (handlers_.lost)
        handlers_.lost(*this);
    if (dials_ && !stopped_)
        retryLater();
}

void FrameLink::stop()
{
    stopped_ = true;
    open_ = false;
    ++generation_;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
}

Result<void> acceptLinks(asio::io_context &io, const std::string &address,
                         const FrameHandlers &handlers,
                         std::function<void(const std::shared_ptr<FrameLink> &)> accepted)
{
    return acceptConnections(io, address,
                             [&io, handlers, accepted = std::move(accepted)](tcp::socket socket) {
                                 const auto link = std::make_shared<FrameLink>(io, handlers);
                                 accepted(link);
                                 link->adopt(std::move(socket));
                             });
}

} // namespace fireflyroute::net
