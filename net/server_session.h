// One connection of a caller. It reads requests, passes each complete request to the handler, and
// sends the response, complete or in chunks. Runs on one io_context thread; its pending operations
// keep it alive.
//
//   acceptSessions(io, address, limits, [](const std::shared_ptr<ServerSession> &session,
//                                          HttpRequestMessage request) {
//       session->respond({200, {}, "hello"});
//   });
//
// A session handles one request at a time: bytes of the next request wait until the response has
// been sent. While a response is in progress, the session detects the disconnection of the caller.
//
// After a response that announces the end of its connection, the session waits until the caller has
// closed its side: a close with unread bytes would reset the connection, and the reset may overtake
// the response.
//
// What the sessions of a listener hold together is bounded by the budget of their group: a session
// that has to wait for bytes reads nothing meanwhile.

#ifndef FIREFLYROUTE_NET_SERVER_SESSION_H
#define FIREFLYROUTE_NET_SERVER_SESSION_H

#include "core/admission/byte_budget.h"
#include "net/http_message.h"
#include "net/request_reader.h"
#include "net/session_group.h"
#include "net/socket_steps.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fireflyroute::net {

class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionGroup> group);
    ~ServerSession();
    ServerSession(const ServerSession &) = delete;
    ServerSession &operator=(const ServerSession &) = delete;

    void start();

    // Sends a complete response to the current request.
    void respond(const HttpResponseMessage &response);

    // Sends the response in chunks. endStream() completes it. abort() closes the connection, so
    // that the caller detects the truncated response.
    void beginStream(const HttpResponseHead &head);
    void writeChunk(std::string_view chunk);
    void endStream();
    void abort();

    // Whether the caller receives more slowly than the response is written. The owner should then
    // write no more until onDrained() reports.
    [[nodiscard]] bool isCongested() const { return unsentBytes_ > kMaxUnsentBytes; }

    // Sets a handler that runs once, when the caller has received most of what was written. It is
    // dropped with the connection.
    void onDrained(std::function<void()> drainedHandler);

    // Sets a handler that runs once if the caller disconnects before the response to the current
    // request is complete.
    void onDisconnect(std::function<void()> disconnectHandler);

    // Sets a handler that runs once if the current request has to be answered now, because the
    // process is about to exit. It is dropped when the response is complete.
    void onLastCall(std::function<void()> lastCallHandler);

    // Closes the connection if it has carried nothing for the period.
    void closeIfIdle(std::chrono::milliseconds quietPeriod);

    // Asks the handler for the response, or rejects a request that has arrived in part.
    void endRequest();

    [[nodiscard]] SessionLoad load() const;

    // Whether a request has arrived, at least in part, that is not passed to the handler yet. It
    // may lie in the kernel.
    [[nodiscard]] bool hasUnreadRequest() const;

    // Bytes of the current response that the kernel has not accepted yet.
    [[nodiscard]] std::size_t unsentBytes() const { return unsentBytes_; }
    [[nodiscard]] std::size_t unsentBytesOfGroup() const { return group_->unsentBytes; }

    // Counts bytes of the answer that its owner holds back until it is complete.
    void setBufferedBytes(std::size_t bytes);

    // The session as a candidate for being closed, and its closing in favour of others.
    [[nodiscard]] core::HolderState holderState() const;
    [[nodiscard]] bool hasRequest() const { return requestActive_; }
    [[nodiscard]] std::chrono::steady_clock::time_point lastProgressAt() const;
    void closeForOthers(CloseReason reason);

    // Asks again for the bytes that it waits for. Returns whether it still waits.
    bool retryHold();

private:
    static constexpr std::size_t kMaxUnsentBytes = 64U << 10U;

    // Fewer received bytes are no progress of a request that holds bytes others wait for.
    static constexpr std::size_t kProgressBytes = 4U << 10U;

    void awaitReadable();
    void onReadable();
    void checkForDisconnect();
    void parse(std::string_view bytes);
    core::HoldVerdict proceed();
    core::HoldVerdict askForBytes();
    void updateHolding();
    void recordProgress();
    void dispatch();
    void reject(unsigned status, const HttpFields &fields = {});
    void rejectForBudget();
    void handleDisconnect();
    [[nodiscard]] bool hasReadPart() const;
    void finishResponse();
    void awaitClose();
    void discardInput();
    void send(std::string bytes);
    void writeNext();
    void close();
    void armTimer(std::chrono::milliseconds timeout);
    void onTimeout();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<SessionGroup> group_;
    ReadableWait readableWait_;
    RequestReader reader_;
    core::Holding holding_; // of the budget of the group
    std::size_t grantedBytes_ = 0; // for the request that is being received
    std::size_t requestBytes_ = 0; // of the request that the handler has
    std::size_t bufferedBytes_ = 0; // see setBufferedBytes()
    std::size_t bytesAtProgress_ = 0; // bytes of the current request at progressAt_
    std::chrono::steady_clock::time_point progressAt_{}; // last progress of the current request
    std::chrono::steady_clock::time_point waitsSince_{}; // valid if waitsForBytes_
    std::chrono::steady_clock::time_point idleSince_{}; // start, or last bytes sent
    std::deque<std::string> output_; // the first element is being written
    std::size_t unsentBytes_ = 0; // sum of the sizes in output_
    std::function<void()> disconnectHandler_;
    std::function<void()> lastCallHandler_;
    std::function<void()> drainedHandler_;
    bool requestStarted_ = false; // a part of the current request was read
    bool waitsForBytes_ = false; // reads nothing until the budget grants its bytes
    bool requestActive_ = false; // the handler has a request without a complete response
    bool wasUsed_ = false; // a request has been passed to the handler
    bool streaming_ = false; // the streamed response has begun
    bool omitBody_ = false; // the method of the request is HEAD
    bool keepAlive_ = true; // the caller requested a persistent connection
    bool closeAfterWrite_ = false; // the response announces the end of the connection
    bool awaitsClose_ = false; // the last response is sent; the caller has to close its side
    bool writing_ = false;
    bool open_ = true;
};

} // namespace fireflyroute::net

#endif
