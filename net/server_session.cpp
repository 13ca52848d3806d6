// HTTP/1.1 server connections of callers.

#include "net/server_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace fireflyroute::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBufferBytes = 16U << 10U;

// Time that the caller has to read the last response and to close its side.
constexpr std::chrono::milliseconds kCloseTimeout{1000};

constexpr unsigned kStatusRequestTimeout = 408;

// Calls `step` with each session. A step may end a session and thereby remove it from the group.
template<typename Step>
void forEachSession(const SessionGroup &group, const Step &step)
{
    std::vector<std::shared_ptr<ServerSession>> sessions;
    sessions.reserve(group.sessions.size());
    for (ServerSession *session : group.sessions)
        sessions.push_back(session->shared_from_this());
    for (const std::shared_ptr<ServerSession> &session : sessions)
        step(*session);
}

} // namespace

ServerSession::ServerSession(tcp::socket socket, std::shared_ptr<SessionGroup> group)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , group_(std::move(group))
{
    group_->sessions.insert(this);
}

ServerSession::~ServerSession()
{
    group_->sessions.erase(this);
    group_->unsentBytes -= unsentBytes_;
}

void ServerSession::start()
{
    configureSocket(socket_);
    idleSince_ = std::chrono::steady_clock::now();
    armTimer(group_->limits.idleTimeout);
    awaitReadable();
}

// One wait serves both purposes: it reports the next bytes of a request, and the disconnection of
// the caller while a response is in progress.
void ServerSession::awaitReadable()
{
    if (!open_ || (requestActive_ && reader_.hasInput()))
        return;
    readableWait_.start(socket_, [self = shared_from_this()] {
        if (self->open_)
            self->onReadable();
    });
}

void ServerSession::onReadable()
{
    if (awaitsClose_) {
        discardInput();
        return;
    }
    // The caller was told that no further request is taken. awaitClose() reads on.
    if (closeAfterWrite_ && !requestActive_)
        return;
    if (requestActive_) {
        checkForDisconnect();
        return;
    }
    std::array<char, kReadBufferBytes> buffer;
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    parse({buffer.data(), count});
}

// Bytes of the next request stay in the kernel until the current response has been sent.
void ServerSession::checkForDisconnect()
{
    char byte = 0;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block)
        awaitReadable();
    else if (error)
        handleDisconnect();
}

void ServerSession::parse(std::string_view bytes)
{
    const ReadState state = reader_.push(bytes, group_->limits);
    if (reader_.hasBegun() && !std::exchange(requestStarted_, true))
        armTimer(group_->limits.headerTimeout);
    switch (state) {
    case ReadState::Rejected:
        reject(reader_.rejectStatus());
        return;
    case ReadState::Complete:
        dispatch();
        return;
    case ReadState::Incomplete:
        break;
    }
    if (reader_.takeExpectsContinue())
        send("HTTP/1.1 100 Continue\r\n\r\n");
    if (reader_.isHeadComplete())
        armTimer(group_->limits.idleTimeout);
    awaitReadable();
}

void ServerSession::dispatch()
{
    timer_.cancel();
    HttpRequestMessage request = reader_.take();
    keepAlive_ = reader_.keepsAlive();
    omitBody_ = request.method == "HEAD";
    requestActive_ = true;
    requestStarted_ = false;
    wasUsed_ = true;
    ++group_->counts.requests;
    awaitReadable();
    group_->handler(shared_from_this(), std::move(request));
}

void ServerSession::reject(unsigned status)
{
    reader_.clear();
    requestStarted_ = false;
    requestActive_ = true;
    keepAlive_ = false;
    respond({status, {}, {}});
}

// The caller has closed its connection.
void ServerSession::handleDisconnect()
{
    const std::function<void()> disconnectHandler = std::exchange(disconnectHandler_, nullptr);
    close();
    if (disconnectHandler)
        disconnectHandler();
}

void ServerSession::respond(const HttpResponseMessage &response)
{
    if (!requestActive_ || streaming_)
        return;
    HttpResponseHead head{response.status, response.fields};
    const bool closesConnection = !keepAlive_ || group_->announcesEnd;
    closeAfterWrite_ = closesConnection;
    if (closesConnection)
        head.fields.push_back({"Connection", "close"});
    head.fields.push_back({"Content-Length", std::to_string(response.body.size())});
    std::string bytes = encodeResponseHead(head);
    bytes += "\r\n";
    if (!omitBody_)
        bytes += response.body;
    send(std::move(bytes));
    finishResponse();
}

void ServerSession::beginStream(const HttpResponseHead &head)
{
    if (!requestActive_ || streaming_)
        return;
    streaming_ = true;
    HttpResponseHead framedHead = head;
    const bool closesConnection = !keepAlive_ || group_->announcesEnd;
    closeAfterWrite_ = closesConnection;
    if (closesConnection)
        framedHead.fields.push_back({"Connection", "close"});
    framedHead.fields.push_back({"Transfer-Encoding", "chunked"});
    send(encodeResponseHead(framedHead) + "\r\n");
}

void ServerSession::writeChunk(std::string_view chunk)
{
    if (streaming_ && !chunk.empty())
        send(fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk));
}

void ServerSession::endStream()
{
    if (!streaming_)
        return;
    send("0\r\n\r\n");
    finishResponse();
}

void ServerSession::abort()
{
    disconnectHandler_ = nullptr;
    lastCallHandler_ = nullptr;
    close();
}

void ServerSession::onDisconnect(std::function<void()> disconnectHandler)
{
    disconnectHandler_ = std::move(disconnectHandler);
}

void ServerSession::onLastCall(std::function<void()> lastCallHandler)
{
    lastCallHandler_ = std::move(lastCallHandler);
}

void ServerSession::onDrained(std::function<void()> drainedHandler)
{
    drainedHandler_ = open_ ? std::move(drainedHandler) : nullptr;
}

void ServerSession::finishResponse()
{
    disconnectHandler_ = nullptr;
    lastCallHandler_ = nullptr;
    streaming_ = false;
    requestActive_ = false;
    if (!open_ || closeAfterWrite_)
        return;
    idleSince_ = std::chrono::steady_clock::now();
    armTimer(group_->limits.idleTimeout);
    if (!reader_.hasInput()) {
        awaitReadable();
        return;
    }
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->open_ && !self->requestActive_ && !self->closeAfterWrite_)
            self->parse({});
    });
}

void ServerSession::send(std::string bytes)
{
    if (!open_)
        return;
    unsentBytes_ += bytes.size();
    group_->unsentBytes += bytes.size();
    output_.push_back(std::move(bytes));
    if (!writing_)
        writeNext();
}

void ServerSession::writeNext()
{
    // All queued bytes are sent in one write, because each system call is expensive on a small VM.
    if (output_.size() > 1) {
        std::string combined;
        combined.reserve(unsentBytes_);
        for (const std::string &part : output_)
            combined += part;
        output_.clear();
        output_.push_back(std::move(combined));
    }
    writing_ = true;
    // The idle limit counts from the last bytes that were sent: a slow caller may receive an answer
    // for longer than that.
    const auto recordProgress = [self = shared_from_this()](const error_code &error,
                                                            std::size_t count) {
        self->idleSince_ = std::chrono::steady_clock::now();
        return asio::transfer_all()(error, count);
    };
    asio::async_write(socket_, asio::buffer(output_.front()), recordProgress,
                      [self = shared_from_this()](const error_code &error, std::size_t count) {
                          self->writing_ = false;
                          if (error) {
                              self->handleDisconnect();
                              return;
                          }
                          self->unsentBytes_ -= count;
                          self->group_->unsentBytes -= count;
                          self->output_.pop_front();
                          if (!self->output_.empty())
                              self->writeNext();
                          else if (self->closeAfterWrite_ && !self->requestActive_)
                              self->awaitClose();
                          if (self->drainedHandler_ && !self->isCongested())
                              std::exchange(self->drainedHandler_, nullptr)();
                      });
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
    std::array<char, kReadBufferBytes> buffer;
    error_code error;
    (void)socket_.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block)
        close();
    else
        awaitReadable();
}

// Whether part of a request was read that is not passed to the handler yet.
bool ServerSession::hasReadPart() const
{
    return open_ && !requestActive_ && !closeAfterWrite_ && reader_.hasBegun();
}

bool ServerSession::hasUnreadRequest() const
{
    error_code ignored;
    return hasReadPart()
           || (open_ && !requestActive_ && !closeAfterWrite_ && socket_.available(ignored) != 0);
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

void ServerSession::endRequest()
{
    if (hasUnreadRequest()) {
        ++group_->counts.lastCalls;
        reject(kStatusRequestTimeout);
    } else if (lastCallHandler_) {
        ++group_->counts.lastCalls;
        std::exchange(lastCallHandler_, nullptr)();
    }
}

SessionLoad ServerSession::load() const
{
    const bool hasRequest = requestActive_ || unsentBytes_ != 0 || hasReadPart();
    return {hasRequest ? 1U : 0U, open_ ? 1U : 0U};
}

void ServerSession::close()
{
    if (!open_)
        return;
    open_ = false;
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

Result<std::shared_ptr<SessionGroup>> acceptSessions(asio::io_context &io,
                                                     const std::string &address,
                                                     const SessionLimits &limits,
                                                     SessionHandler handler)
{
    auto group = std::make_shared<SessionGroup>();
    group->limits = limits;
    group->handler = std::move(handler);
    BOOST_OUTCOME_TRY(listener, acceptConnections(io, address, [group](tcp::socket socket) {
                          std::make_shared<ServerSession>(std::move(socket), group)->start();
                      }));
    group->listener = listener;
    return group;
}

SessionLoad loadOf(const SessionGroup &group)
{
    SessionLoad sum;
    for (const ServerSession *session : group.sessions) {
        const SessionLoad load = session->load();
        sum.requests += load.requests;
        sum.connections += load.connections;
    }
    return sum;
}

std::size_t countUnread(const SessionGroup &group)
{
    return static_cast<std::size_t>(std::count_if(
            group.sessions.begin(), group.sessions.end(),
            [](const ServerSession *session) { return session->hasUnreadRequest(); }));
}

void announceEnd(SessionGroup &group)
{
    group.announcesEnd = true;
}

void stopAccepting(SessionGroup &group)
{
    if (const std::shared_ptr<TcpListener> listener = group.listener.lock())
        listener->stop();
}

bool isAccepting(const SessionGroup &group)
{
    const std::shared_ptr<TcpListener> listener = group.listener.lock();
    return listener && listener->isOpen();
}

void closeIdleSessions(SessionGroup &group, std::chrono::milliseconds quietPeriod)
{
    forEachSession(group,
                   [quietPeriod](ServerSession &session) { session.closeIfIdle(quietPeriod); });
}

void endRequests(SessionGroup &group)
{
    forEachSession(group, [](ServerSession &session) { session.endRequest(); });
}

} // namespace fireflyroute::net
