// Framed connections between processes of this system.

#include "net/frame_link.h"

#include "net/socket_steps.h"
#include "net/tcp_acceptor.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
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

constexpr std::size_t kReadBufferBytes = 16U << 10U;
constexpr std::size_t kHeaderBytes = 4;

// Limit of one frame. A configuration of thousands of routes takes some hundred KiB.
constexpr std::uint32_t kMaxFrameBytes = 16U << 20U;

// Limit of the bytes that are queued for a slow peer.
constexpr std::size_t kMaxQueuedBytes = 24U << 20U;

// The buffer of received bytes is released if a large frame has left it with more than this.
constexpr std::size_t kMaxIdleBufferBytes = 256U << 10U;

constexpr std::chrono::milliseconds kConnectTimeout{700};
constexpr std::chrono::milliseconds kReconnectDelay{200};

// TCP user time-out: the kernel closes the connection if sent bytes stay unacknowledged for this
// long. Well above one round trip between regions with a lost packet.
constexpr int kUnacknowledgedTimeoutMs = 1500;

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
    isDialer_ = true;
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
            self->scheduleReconnect();
    });
    socket_.async_connect(peer_, [self = shared_from_this(), generation](const error_code &error) {
        if (self->generation_ != generation || !self->connecting_)
            return;
        if (error)
            self->scheduleReconnect();
        else
            self->start();
    });
}

void FrameLink::scheduleReconnect()
{
    connecting_ = false;
    ++generation_;
    error_code ignored;
    socket_.close(ignored);
    timer_.expires_after(kReconnectDelay);
    timer_.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error)
            self->connect();
    });
}

void FrameLink::start()
{
    connecting_ = false;
    timer_.cancel();
    configureSocket(socket_);
    error_code ignored;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket_.set_option(UserTimeout(kUnacknowledgedTimeoutMs), ignored);
    open_ = true;
    receivedBytes_.clear();
    queuedBytes_.clear();
    isOverfull_ = false;
    writing_ = false;
    if (handlers_.onConnected)
        handlers_.onConnected(*this);
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
    std::array<char, kReadBufferBytes> buffer;
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        disconnect();
        return;
    }
    receivedTotal_ += count;
    receivedBytes_.append(buffer.data(), count);
    handleFrames();
    awaitReadable();
}

void FrameLink::handleFrames()
{
    const std::uint64_t generation = generation_;
    std::size_t offset = 0;
    while (receivedBytes_.size() - offset >= kHeaderBytes) {
        const auto *header =
                reinterpret_cast<const unsigned char *>(receivedBytes_.data() + offset);
        const std::uint32_t size = boost::endian::load_little_u32(header);
        if (size > kMaxFrameBytes) {
            disconnect();
            return;
        }
        if (receivedBytes_.size() - offset - kHeaderBytes < size)
            break;
        const std::string_view frame =
                std::string_view(receivedBytes_).substr(offset + kHeaderBytes, size);
        offset += kHeaderBytes + size;
        handlers_.onFrame(*this, frame);
        if (!open_ || generation_ != generation)
            return;
    }
    receivedBytes_.erase(0, offset);
    if (receivedBytes_.capacity() > kMaxIdleBufferBytes && receivedBytes_.size() < kReadBufferBytes)
        receivedBytes_.shrink_to_fit();
}

void FrameLink::send(std::string_view frame)
{
    if (!open_)
        return;
    if (isOverfull_)
        return;
    if (queuedBytes_.size() + frame.size() > kMaxQueuedBytes) {
        // The owner may be iterating over its links.
        isOverfull_ = true;
        asio::post(io_, [self = shared_from_this(), generation = generation_] {
            if (self->open_ && self->generation_ == generation)
                self->disconnect();
        });
        return;
    }
    std::array<unsigned char, kHeaderBytes> header;
    boost::endian::store_little_u32(header.data(), static_cast<std::uint32_t>(frame.size()));
    queuedBytes_.append(reinterpret_cast<const char *>(header.data()), header.size());
    queuedBytes_.append(frame);
    if (!writing_)
        writeNext();
}

void FrameLink::writeNext()
{
    writing_ = true;
    bytesInWrite_ = std::exchange(queuedBytes_, {});
    asio::async_write(socket_, asio::buffer(bytesInWrite_),
                      [self = shared_from_this(), generation = generation_](const error_code &error,
                                                                            std::size_t) {
                          if (self->generation_ != generation || !self->open_)
                              return;
                          self->writing_ = false;
                          self->bytesInWrite_ = {};
                          if (error)
                              self->disconnect();
                          else if (!self->queuedBytes_.empty())
                              self->writeNext();
                      });
}

void FrameLink::reset()
{
    if (open_)
        disconnect();
}

void FrameLink::disconnect()
{
    open_ = false;
    ++generation_;
    queuedBytes_ = {};
    error_code ignored;
    socket_.close(ignored);
    if (stopped_)
        return;
    if (handlers_.onDisconnected)
        handlers_.onDisconnected(*this);
    if (isDialer_ && !stopped_)
        scheduleReconnect();
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
                         std::function<void(const std::shared_ptr<FrameLink> &)> onAccepted)
{
    BOOST_OUTCOME_TRYV(acceptConnections(
            io, address, [&io, handlers, onAccepted = std::move(onAccepted)](tcp::socket socket) {
                const auto link = std::make_shared<FrameLink>(io, handlers);
                onAccepted(link);
                link->adopt(std::move(socket));
            }));
    return core::outcome::success();
}

} // namespace fireflyroute::net
