// HTTP/1.1 server connections of callers: reading of requests. In come the bytes of a connection,
// out go complete requests to the handler of the group, or rejections.

#include "net/server_session.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBufferBytes = 16U << 10U;

constexpr unsigned kStatusRequestTimeout = 408;
constexpr unsigned kStatusUnavailable = 503;

// When to come back after a request that found no room: the budget frees stalled bytes within this
// time.
constexpr const char *kRetryAfterSeconds = "1";

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
    group_->budget.set(holding_, 0);
}

void ServerSession::start()
{
    configureSocket(socket_);
    idleSince_ = std::chrono::steady_clock::now();
    progressAt_ = idleSince_;
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
    if (waitsForBytes_)
        return;
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
    if (!reader_.hasBegun() && bytes.empty()) {
        awaitReadable();
        return;
    }
    const bool isNewRequest = !requestStarted_;
    const ReadState state = reader_.push(bytes, group_->limits);
    if (isNewRequest) {
        requestStarted_ = true;
        bytesAtProgress_ = 0;
        progressAt_ = std::chrono::steady_clock::now();
        armTimer(group_->limits.headerTimeout);
    }
    if (state == ReadState::Rejected) {
        reject(reader_.rejectStatus());
        return;
    }
    recordProgress();
    if (state == ReadState::Incomplete && reader_.isHeadComplete())
        armTimer(group_->limits.idleTimeout);
    if (proceed() == core::HoldVerdict::Wait)
        addWaiting(group_, shared_from_this());
}

// Goes on with the current request if the budget grants the bytes that it will hold.
core::HoldVerdict ServerSession::proceed()
{
    const core::HoldVerdict verdict = askForBytes();
    if (verdict == core::HoldVerdict::Refused) {
        rejectForBudget();
    } else if (verdict == core::HoldVerdict::Granted && reader_.isComplete()) {
        dispatch();
    } else if (verdict == core::HoldVerdict::Granted) {
        if (reader_.takeExpectsContinue())
            send("HTTP/1.1 100 Continue\r\n\r\n");
        awaitReadable();
    }
    return verdict;
}

// Asks the budget for the bytes of the current request, and has connections closed that give way to
// it.
core::HoldVerdict ServerSession::askForBytes()
{
    const std::size_t ordinaryBytes = group_->bounds.held.ordinaryBytes;
    const std::size_t bytes = reader_.wantedBytes(ordinaryBytes);
    const auto now = std::chrono::steady_clock::now();
    if (!waitsForBytes_)
        waitsSince_ = now;
    waitsForBytes_ = true;
    const auto ask = [&] {
        return group_->budget.ask(holding_, bytes + unsentBytes_, now - waitsSince_);
    };
    core::HoldVerdict verdict = ask();
    while (verdict != core::HoldVerdict::Granted && makeRoom(*group_, bytes))
        verdict = ask();
    if (verdict != core::HoldVerdict::Granted)
        return verdict;
    waitsForBytes_ = false;
    grantedBytes_ = bytes;
    if (bytes > ordinaryBytes)
        reader_.reserveBody(bytes);
    return verdict;
}

bool ServerSession::retryHold()
{
    if (!open_ || !waitsForBytes_)
        return false;
    // The caller isn't at fault for the wait.
    progressAt_ = std::chrono::steady_clock::now();
    return proceed() == core::HoldVerdict::Wait;
}

void ServerSession::recordProgress()
{
    const std::size_t bytes = reader_.heldBytes();
    if (bytes < bytesAtProgress_ + kProgressBytes)
        return;
    bytesAtProgress_ = bytes;
    progressAt_ = std::chrono::steady_clock::now();
}

void ServerSession::updateHolding()
{
    group_->budget.set(holding_, grantedBytes_ + requestBytes_ + bufferedBytes_ + unsentBytes_);
}

void ServerSession::dispatch()
{
    timer_.cancel();
    requestBytes_ = reader_.parsedBytes();
    HttpRequestMessage request = reader_.take();
    keepAlive_ = reader_.keepsAlive();
    omitBody_ = request.method == "HEAD";
    requestActive_ = true;
    requestStarted_ = false;
    wasUsed_ = true;
    grantedBytes_ = 0;
    updateHolding();
    ++group_->counts.requests;
    awaitReadable();
    group_->handler(shared_from_this(), std::move(request));
}

void ServerSession::reject(unsigned status, const HttpFields &fields)
{
    reader_.clear();
    waitsForBytes_ = false;
    requestStarted_ = false;
    grantedBytes_ = 0;
    requestBytes_ = 0;
    updateHolding();
    requestActive_ = true;
    keepAlive_ = false;
    respond({status, fields, {}});
}

void ServerSession::rejectForBudget()
{
    const auto waited = std::chrono::steady_clock::now() - waitsSince_;
    recordClosed(*group_,
                 {CloseReason::BudgetUsedUp, reader_.wantedBytes(group_->bounds.held.ordinaryBytes),
                  std::chrono::duration_cast<std::chrono::milliseconds>(waited)});
    reject(kStatusUnavailable, {{"Retry-After", kRetryAfterSeconds}});
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

} // namespace fireflyroute::net
