// One connection of a caller: reads requests, hands each whole one over, and carries its answer
// back, whole or piece by piece. Runs on one io_context thread; kept alive by its operations.
//
//   acceptSessions(io, address, limits, [](const std::shared_ptr<ServerSession> &session,
//                                          HttpRequestMessage request) {
//       session->respond({200, {}, "hello"});
//   });
//
// A session handles one request at a time: bytes of a next request wait until the answer is out.
// While an answer is under way the session notices when the caller leaves.

#ifndef FIREFLYROUTE_NET_SERVER_SESSION_H
#define FIREFLYROUTE_NET_SERVER_SESSION_H

#include "net/errors.h"
#include "net/http_message.h"
#include "net/socket_steps.h"

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

namespace fireflyroute::net {

// What a caller may send and how long it may take. Shared by all sessions of a listener and may be
// replaced while they run.
struct SessionLimits
{
    std::uint32_t headerBytes = 16U << 10U;
    std::uint32_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

class ServerSession;

// Takes one whole request. The session is kept until it was answered or aborted.
using SessionHandler =
        std::function<void(const std::shared_ptr<ServerSession> &, HttpRequestMessage)>;

// What the sessions of one listener share.
struct SessionGroup
{
    SessionLimits limits;
    SessionHandler handler;
    std::set<ServerSession *> sessions; // those with an open connection
    bool closing = false; // answers say that the connection ends
};

class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionGroup> group);
    ~ServerSession();
    ServerSession(const ServerSession &) = delete;
    ServerSession &operator=(const ServerSession &) = delete;

    void start();

    // Answers the present request whole.
    void respond(const HttpResponseMessage &response);

    // Answers piece by piece. endStream() completes the answer; abort() leaves it visibly
    // incomplete.
    void beginStream(const HttpResponseHead &head);
    void writePiece(std::string_view piece);
    void endStream();
    void abort();

    // Runs `gone` once if the caller leaves before the present request is answered.
    void whenGone(std::function<void()> gone);

    // Closes the connection now if no request is under way.
    void closeIfIdle();

    [[nodiscard]] bool isBusy() const { return busy_; }

    // Bytes of the present answer that the kernel has not taken yet.
    [[nodiscard]] std::size_t unsentBytes() const { return unsent_; }

private:
    struct Parser;

    void awaitReadable();
    void onReadable();
    void checkCaller();
    void parse();
    void dispatch();
    void refuse(unsigned status);
    void leave();
    void finishAnswer();
    void send(std::string bytes);
    void writeNext();
    void close();
    void armTimer(std::chrono::milliseconds timeout);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<SessionGroup> group_;
    ReadableWait wait_;
    std::unique_ptr<Parser> parser_;
    std::string input_; // bytes that are not parsed yet
    std::deque<std::string> output_; // the first one is being written
    std::size_t unsent_ = 0; // sum over output_
    std::function<void()> gone_;
    bool busy_ = false; // a request was handed over and is not answered
    bool streaming_ = false; // its answer has begun
    bool bodyless_ = false; // the request was a HEAD
    bool keepAlive_ = true; // the caller wants the connection to go on
    bool closeAfterWrite_ = false;
    bool writing_ = false;
    bool open_ = true;
};

// Listens on "IP:PORT" and starts a session for each connection, for as long as the io_context
// runs. `closing` is set and idle sessions are closed by closeGently().
[[nodiscard]] Result<std::shared_ptr<SessionGroup>> acceptSessions(boost::asio::io_context &io,
                                                                   const std::string &address,
                                                                   const SessionLimits &limits,
                                                                   SessionHandler handler);

// Lets the connections of a group end: each answer says so, and idle ones are closed.
void closeGently(SessionGroup &group);

// Requests of the group that are not answered yet.
[[nodiscard]] std::size_t busySessions(const SessionGroup &group);

} // namespace fireflyroute::net

#endif
