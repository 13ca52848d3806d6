// HTTP/1.1 server connections of callers: closing. Each way in which a connection ends; none closes
// with unread bytes of a request unless others need what it holds.

#include "net/server_session.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kDiscardBufferBytes = 16U << 10U;

// Time that the caller has to read the last response and to close its side.
constexpr std::chrono::milliseconds kCloseTimeout{1000};

constexpr unsigned kStatusRequestTimeout = 408;

} // namespace

// The caller has closed its connection.
void ServerSession::handleDisconnect()
{
    const std::function<void()> disconnectHandler = std::exchange(disconnectHandler_, nullptr);
    close();
    if (disconnectHandler)
        disconnectHandler();
}

void ServerSession::abort()
{
    disconnectHandler_ = nullptr;
    lastCallHandler_ = nullptr;
    close();
}

// The end of this side tells the caller that nothing follows. Its own end, or the time-out, closes
// the connection.
void ServerSession::awaitClose()
{
    awaitsClose_ = true;
    reader_.clear();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    armTimer(kCloseTimeout);
    awaitReadable();
}

void ServerSession::discardInput()
{
    std::array<char, kDiscardBufferBytes> buffer;
    error_code error;
    (void)socket_.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block)
        close();
    else
        awaitReadable();
}

void ServerSession::closeIfIdle(std::chrono::milliseconds quietPeriod)
{
    const bool isQuiet = std::chrono::steady_clock::now() - idleSince_ >= quietPeriod;
    const bool isIdle = open_ && !requestActive_ && !closeAfterWrite_ && output_.empty();
    if (!isIdle || !isQuiet || hasUnreadRequest())
        return;
    ++group_->counts.closedIdle;
    group_->counts.closedUnused += wasUsed_ ? 0 : 1;
    close();
}

core::HolderState ServerSession::holderState() const
{
    core::HolderState state;
    if (!open_)
        return state;
    state.bytes = holding_.bytes;
    if (unsentBytes_ != 0) {
        state.phase = core::HoldPhase::Sending;
        state.lastProgressAt = idleSince_;
    } else if (hasReadPart() && !waitsForBytes_) {
        state.phase = core::HoldPhase::Receiving;
        state.lastProgressAt = progressAt_;
    }
    return state;
}

std::chrono::steady_clock::time_point ServerSession::lastProgressAt() const
{
    return hasReadPart() ? progressAt_ : idleSince_;
}

// A part of a request is answered, since it has not run and never will. An answer that is not
// received can't be.
void ServerSession::closeForOthers(CloseReason reason)
{
    const auto quiet = std::chrono::steady_clock::now() - lastProgressAt();
    recordClosed(*group_, {reason, holding_.bytes,
                           std::chrono::duration_cast<std::chrono::milliseconds>(quiet)});
    if (reason == CloseReason::BodyStalled)
        reject(kStatusRequestTimeout);
    else
        handleDisconnect();
}

void ServerSession::close()
{
    if (!open_)
        return;
    open_ = false;
    waitsForBytes_ = false;
    reader_.clear();
    grantedBytes_ = 0;
    requestBytes_ = 0;
    bufferedBytes_ = 0;
    updateHolding();
    drainedHandler_ = nullptr;
    lastCallHandler_ = nullptr;
    timer_.cancel();
    error_code ignored;
    if (!requestActive_)
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void ServerSession::armTimer(std::chrono::milliseconds timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const error_code &error) {
        const std::shared_ptr<ServerSession> self = weak.lock();
        if (error || !self || self->requestActive_ || !self->open_)
            return;
        // The wait may have expired before the timer was set again.
        if (self->timer_.expiry() <= std::chrono::steady_clock::now())
            self->onTimeout();
    });
}

void ServerSession::onTimeout()
{
    if (closeAfterWrite_) {
        close();
        return;
    }
    if (requestStarted_) {
        reject(kStatusRequestTimeout);
        armTimer(kCloseTimeout);
        return;
    }
    // The limit may have been raised since the timer was set.
    const auto remaining =
            idleSince_ + group_->limits.idleTimeout - std::chrono::steady_clock::now();
    if (remaining > std::chrono::steady_clock::duration::zero()) {
        armTimer(std::chrono::ceil<std::chrono::milliseconds>(remaining));
        return;
    }
    // Closing with an unread request would reset the connection. The pending wait reads it.
    error_code ignored;
    if (socket_.available(ignored) > 0)
        armTimer(group_->limits.headerTimeout);
    else
        close();
}

} // namespace fireflyroute::net
