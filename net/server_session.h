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

#ifndef FIREFLYROUTE_NET_SERVER_SESSION_H
#define FIREFLYROUTE_NET_SERVER_SESSION_H

#include "net/errors.h"
#include "net/http_message.h"
#include "net/request_reader.h"
#include "net/socket_steps.h"
#include "net/tcp_acceptor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace fireflyroute::net {

// Limits of requests and time-outs. Shared by all sessions of a listener and may be replaced while
// they run.
struct SessionLimits : RequestLimits
{
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

class ServerSession;

// Receives one complete request. The handler must keep the session alive until it has responded to
// the request or aborted the session.
using SessionHandler =
        std::function<void(const std::shared_ptr<ServerSession> &, HttpRequestMessage)>;

// Totals of the sessions of one listener.
struct SessionCounts
{
    std::uint64_t requests = 0; // passed to the handler
    std::uint64_t closedIdle = 0; // connections closed by closeIdleSessions()
    std::uint64_t closedUnused = 0; // those of closedIdle that never carried a request
    std::uint64_t lastCalls = 0; // requests whose response endRequests() asked for
};

// What the sessions of one listener hold.
struct SessionLoad
{
    std::size_t requests = 0; // of which any part was read and whose response is not fully sent
    std::size_t connections = 0; // not closed
};

// State that the sessions of one listener share.
struct SessionGroup
{
    SessionLimits limits;
    SessionHandler handler;
    std::set<ServerSession *> sessions; // all sessions that are not destroyed yet
    std::size_t unsentBytes = 0; // of all sessions
    SessionCounts counts;
    std::weak_ptr<TcpListener> listener; // owns the group until it is stopped
    bool announcesEnd = false; // each response announces the end of its connection
};

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

private:
    static constexpr std::size_t kMaxUnsentBytes = 64U << 10U;

    void awaitReadable();
    void onReadable();
    void checkForDisconnect();
    void parse(std::string_view bytes);
    void dispatch();
    void reject(unsigned status);
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
    std::chrono::steady_clock::time_point idleSince_{}; // start, or last bytes sent
    std::deque<std::string> output_; // the first element is being written
    std::size_t unsentBytes_ = 0; // sum of the sizes in output_
    std::function<void()> disconnectHandler_;
    std::function<void()> lastCallHandler_;
    std::function<void()> drainedHandler_;
    bool requestStarted_ = false; // a part of the current request was read
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

// Listens on "IP:PORT" and starts a session for each connection, until stopAccepting() is called on
// the returned group or the io_context ends.
[[nodiscard]] Result<std::shared_ptr<SessionGroup>> acceptSessions(boost::asio::io_context &io,
                                                                   const std::string &address,
                                                                   const SessionLimits &limits,
                                                                   SessionHandler handler);

[[nodiscard]] SessionLoad loadOf(const SessionGroup &group);

// Returns the number of requests that are not passed to the handler yet, also those that lie in the
// kernel. Costs a system call for each connection.
[[nodiscard]] std::size_t countUnread(const SessionGroup &group);

// The steps of a stop, in this order. core/stop_sequence.h decides when each is due.

// From now on, each response announces the end of its connection.
void announceEnd(SessionGroup &group);

// Keeps new connections out. Those that have begun are added to the group until isAccepting() is
// false.
void stopAccepting(SessionGroup &group);
[[nodiscard]] bool isAccepting(const SessionGroup &group);

// Closes the connections that have carried nothing for the period. A request that has arrived but
// is not read yet keeps its connection open.
void closeIdleSessions(SessionGroup &group, std::chrono::milliseconds quietPeriod);

// Asks for the responses to all requests in progress, because the process is about to exit.
void endRequests(SessionGroup &group);

} // namespace fireflyroute::net

#endif
