// Tests the steps of a planned stop: of a listener, and of the sessions that it has accepted.

#define BOOST_TEST_MODULE session_stop
#include "net/address.h"
#include "net/server_session.h"
#include "net/tcp_acceptor.h"
#include "net/testing/server_fixture.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <deque>
#include <functional>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace fireflyroute::net;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::string_view kRequest = "GET / HTTP/1.1\r\n\r\n";

// More than the kernel takes while the caller reads nothing.
constexpr std::size_t kLargeBodyBytes = 32U << 20U;

// Longer than any test takes.
constexpr std::chrono::minutes kLongPeriod{10};

// What a caller has received until the end of its connection.
struct Received
{
    std::string bytes;
    error_code end; // end of file, or a reset
};

std::size_t countOf(std::string_view text, std::string_view part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string_view::npos;
         at = text.find(part, at + part.size()))
        ++count;
    return count;
}

struct StopFixture : ServerFixture
{
    // Starts a server that keeps its requests in `held`.
    void startHoldingServer()
    {
        address = startServer(SessionLimits());
        group->handler = [this](const std::shared_ptr<ServerSession> &session,
                                const HttpRequestMessage &) {
            ++handled;
            held.push_back(session);
        };
    }

    void startAnsweringServer() { address = startServer(SessionLimits()); }

    // Returns a connection that the kernel has established, and the server has not accepted yet.
    tcp::socket connect()
    {
        tcp::socket caller(io);
        caller.connect(parseAddress(address).value());
        return caller;
    }

    // Returns a connection that has a session.
    tcp::socket connectAccepted()
    {
        const std::size_t before = group->sessions.size();
        tcp::socket caller = connect();
        runUntil([&] { return group->sessions.size() == before + 1; });
        return caller;
    }

    // Bytes that a caller sends over loopback are in the kernel of the server at once.
    static void send(tcp::socket &caller, std::string_view bytes)
    {
        boost::asio::write(caller, boost::asio::buffer(bytes));
    }

    // Runs what can run without waiting.
    void runReady()
    {
        io.restart();
        io.poll();
    }

    Received receiveAll(tcp::socket &caller)
    {
        Received received;
        bool complete = false;
        boost::asio::async_read(caller, boost::asio::dynamic_buffer(received.bytes),
                                [&](const error_code &error, std::size_t) {
                                    received.end = error;
                                    complete = true;
                                });
        runUntil([&] { return complete; });
        return received;
    }

    // Returns the next response up to the end of its head, and what has arrived after it.
    std::string receiveResponse(tcp::socket &caller)
    {
        std::string received;
        bool complete = false;
        boost::asio::async_read_until(caller, boost::asio::dynamic_buffer(received), "\r\n\r\n",
                                      [&](const error_code &, std::size_t) { complete = true; });
        runUntil([&] { return complete; });
        return received;
    }

    bool isClosed(tcp::socket &caller)
    {
        runReady();
        error_code error;
        char byte = 0;
        caller.non_blocking(true);
        caller.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        caller.non_blocking(false);
        return error == boost::asio::error::eof || error == boost::asio::error::connection_reset;
    }

    // Checks that the caller receives this answer, the end of the connection, and nothing else.
    void checkOnlyAnswer(tcp::socket &caller, const std::string &body)
    {
        const Received all = receiveAll(caller);
        BOOST_TEST(countOf(all.bytes, "HTTP/1.1 ") == 1U);
        BOOST_TEST(all.bytes.ends_with("\r\n\r\n" + body));
        BOOST_TEST(all.end == boost::asio::error::eof);
        caller.close();
        runUntil([&] { return group->sessions.empty(); });
    }

    void checkLoad(std::size_t requests, std::size_t unread, std::size_t connections) const
    {
        const SessionLoad load = loadOf(*group);
        BOOST_TEST(load.requests == requests);
        BOOST_TEST(countUnread(*group) == unread);
        BOOST_TEST(load.connections == connections);
    }

    std::string address;
    std::deque<std::shared_ptr<ServerSession>> held;
    int handled = 0;
};

struct ListenerFixture : StopFixture
{
    ListenerFixture()
    {
        tcp::acceptor portReservation(io, tcp::endpoint(tcp::v4(), 0));
        address = "127.0.0.1:" + std::to_string(portReservation.local_endpoint().port());
        portReservation.close();
        auto listening = acceptConnections(io, address, [this](tcp::socket socket) {
            accepted.push_back(std::move(socket));
            if (onAccepted)
                onAccepted();
        });
        BOOST_REQUIRE(listening);
        listener = listening.value();
    }

    error_code connectResult()
    {
        tcp::socket caller(io);
        error_code error;
        caller.connect(parseAddress(address).value(), error);
        return error;
    }

    // The listener closes some time after it keeps new connections out.
    void stopAndClose()
    {
        listener->stop();
        runUntil([&] { return !listener->isOpen(); });
    }

    std::shared_ptr<TcpListener> listener;
    std::vector<tcp::socket> accepted;
    std::function<void()> onAccepted;
};

// Lets the process open no further file while it exists.
class FileLimit
{
public:
    FileLimit()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int next = dup(0);
        close(next);
        rlimit limit = before_;
        limit.rlim_cur = static_cast<rlim_t>(next);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~FileLimit() { setrlimit(RLIMIT_NOFILE, &before_); }
    FileLimit(const FileLimit &) = delete;
    FileLimit &operator=(const FileLimit &) = delete;

private:
    rlimit before_{};
};

// Requests of which a part has arrived, and the rest of them.
struct PartOfRequest
{
    std::string_view first;
    std::string_view rest;
};

constexpr std::array kPartsOfRequests{
        PartOfRequest{"GET / HT", "TP/1.1\r\n\r\n"},
        PartOfRequest{"GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"},
        PartOfRequest{"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n", "body"},
        PartOfRequest{"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo", "dy"},
};

} // namespace

// Guards against requests that are reset because their connections wait in the kernel's queue when
// the listener closes.
BOOST_FIXTURE_TEST_CASE(stop_serves_connections_that_wait_in_the_kernel, StopFixture)
{
    startAnsweringServer();
    std::vector<tcp::socket> callers;
    for (int count = 0; count < 20; ++count) {
        callers.push_back(connect());
        send(callers.back(), kRequest);
    }
    stopAccepting(*group);
    for (tcp::socket &caller : callers)
        BOOST_TEST(statusOfResponse(caller) == 200U);
}

// Guards against the same of connections whose request follows later.
BOOST_FIXTURE_TEST_CASE(stop_accepts_waiting_connections_without_a_request, StopFixture)
{
    startAnsweringServer();
    tcp::socket caller = connect();
    stopAccepting(*group);
    runReady();
    BOOST_TEST(statusOfRequest(caller) == 200U);
}

// Guards against a connection that is dropped because the io_context has accepted it before the
// stop and reports it after that.
BOOST_FIXTURE_TEST_CASE(connection_accepted_before_the_stop_is_passed_on, ListenerFixture)
{
    const tcp::socket first = connect();
    const tcp::socket second = connect();
    while (accepted.empty())
        io.run_one();
    // The next accept of the listener has taken the second connection at once.
    listener->stop();
    BOOST_REQUIRE(accepted.size() == 1U);
    runReady();
    BOOST_TEST(accepted.size() == 2U);
}

// Guards against callers whose connections are established and that nobody serves.
BOOST_FIXTURE_TEST_CASE(stop_refuses_later_connections, ListenerFixture)
{
    BOOST_TEST(!connectResult());
    stopAndClose();
    BOOST_TEST(connectResult() == boost::asio::error::connection_refused);
    runReady();
    BOOST_TEST(connectResult() == boost::asio::error::connection_refused);
    BOOST_TEST(accepted.size() == 1U);
}

// Guards against connections that are established between the last accept and the close, which
// would reset them: none is established from the start of the stop on.
BOOST_FIXTURE_TEST_CASE(no_connection_is_established_while_the_queue_is_emptied, ListenerFixture)
{
    const tcp::socket waiting = connect();
    tcp::socket late(io);
    std::optional<error_code> lateResult;
    onAccepted = [&] {
        if (late.is_open())
            return;
        late.async_connect(parseAddress(address).value(),
                           [&](const error_code &error) { lateResult = error; });
    };
    stopAndClose();
    BOOST_TEST(accepted.size() == 1U);
    runUntil([&] { return lateResult.has_value(); });
    BOOST_TEST(*lateResult == boost::asio::error::connection_refused);
    BOOST_TEST(accepted.size() == 1U);
}

// Guards against a listener that goes on after its stop because it waited for the next try of a
// failed accept.
BOOST_FIXTURE_TEST_CASE(stop_during_the_retry_delay_accepts_once, ListenerFixture)
{
    const tcp::socket waiting = connect();
    {
        const FileLimit noFiles;
        runReady();
        BOOST_REQUIRE(accepted.empty());
    }
    stopAndClose();
    // The next try and the close are due at the same time. What the try accepted may be reported
    // after the close.
    runReady();
    BOOST_TEST(accepted.size() == 1U);
    const std::weak_ptr<TcpListener> ended = std::exchange(listener, nullptr);
    runUntil([&] { return ended.expired(); });
    BOOST_TEST(accepted.size() == 1U);
}

// Guards against a second stop, which each step of a stopping process requests.
BOOST_FIXTURE_TEST_CASE(second_stop_has_no_effect, ListenerFixture)
{
    const tcp::socket waiting = connect();
    listener->stop();
    stopAndClose();
    // The port may be used by the next process.
    tcp::acceptor next(io, parseAddress(address).value());
    listener->stop();
    BOOST_TEST(accepted.size() == 1U);
    BOOST_TEST(!connectResult());
    runReady();
    listener->stop();
    BOOST_TEST(accepted.size() == 1U);
}

// Guards against kept connections that are closed without notice: callers send their next request
// on them at the same time.
BOOST_FIXTURE_TEST_CASE(answers_announce_the_end_of_kept_connections, StopFixture)
{
    startAnsweringServer();
    tcp::socket caller = connectAccepted();
    send(caller, kRequest);
    BOOST_TEST(receiveResponse(caller).find("Connection: close") == std::string::npos);
    announceEnd(*group);
    send(caller, kRequest);
    const Received last = receiveAll(caller);
    BOOST_TEST(last.bytes.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(countOf(last.bytes, "Connection: close\r\n") == 1U);
    BOOST_TEST(last.end == boost::asio::error::eof);
}

// Guards against the same for a request that was in progress when the stop began.
BOOST_FIXTURE_TEST_CASE(answer_to_a_request_in_progress_announces_the_end, StopFixture)
{
    startHoldingServer();
    tcp::socket caller = connectAccepted();
    send(caller, kRequest);
    runUntil([&] { return !held.empty(); });
    announceEnd(*group);
    held.front()->respond({200, {}, "ok"});
    const Received last = receiveAll(caller);
    BOOST_TEST(countOf(last.bytes, "Connection: close\r\n") == 1U);
    BOOST_TEST(last.bytes.ends_with("ok"));
    BOOST_TEST(last.end == boost::asio::error::eof);
}

// Guards against the same for streams, and against streams that are cut by the announcement.
BOOST_FIXTURE_TEST_CASE(streams_announce_the_end_and_are_completed, StopFixture)
{
    startHoldingServer();
    tcp::socket caller = connectAccepted();
    send(caller, kRequest);
    runUntil([&] { return !held.empty(); });
    announceEnd(*group);
    held.front()->beginStream({200, {}});
    held.front()->writeChunk("one");
    runReady();
    held.front()->writeChunk("two");
    held.front()->endStream();
    const Received last = receiveAll(caller);
    BOOST_TEST(countOf(last.bytes, "Connection: close\r\n") == 1U);
    BOOST_TEST(last.bytes.ends_with("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"));
    BOOST_TEST(last.end == boost::asio::error::eof);
}

// Guards against closing after a stream whose head had left before the stop and announced nothing.
BOOST_FIXTURE_TEST_CASE(stream_that_began_before_the_stop_keeps_its_connection, StopFixture)
{
    startHoldingServer();
    tcp::socket caller = connectAccepted();
    send(caller, kRequest);
    runUntil([&] { return !held.empty(); });
    held.front()->beginStream({200, {}});
    announceEnd(*group);
    held.front()->endStream();
    held.clear();
    BOOST_TEST(receiveResponse(caller).find("Connection: close") == std::string::npos);
    BOOST_TEST(!isClosed(caller));
    send(caller, kRequest);
    runUntil([&] { return !held.empty(); });
    held.front()->respond({200, {}, "ok"});
    BOOST_TEST(countOf(receiveAll(caller).bytes, "Connection: close\r\n") == 1U);
}

// Guards against a reset that overtakes the answer because the caller has sent its next request
// without waiting, and against passing that request on: its answer couldn't be sent. The large
// answer is still being sent when the next request arrives.
BOOST_FIXTURE_TEST_CASE(request_after_the_announced_end_is_not_passed_on, StopFixture)
{
    startHoldingServer();
    announceEnd(*group);
    for (const std::string &body : {std::string("ok"), std::string(kLargeBodyBytes, 'x')}) {
        tcp::socket caller = connectAccepted();
        send(caller, kRequest);
        runUntil([&] { return !held.empty(); });
        send(caller, kRequest);
        held.front()->respond({200, {}, body});
        held.clear();
        runReady();
        send(caller, kRequest);
        checkOnlyAnswer(caller, body);
    }
    BOOST_TEST(handled == 2);
}

// Guards against the same if both requests arrive in one segment.
BOOST_FIXTURE_TEST_CASE(second_request_of_one_segment_is_not_passed_on, StopFixture)
{
    startHoldingServer();
    announceEnd(*group);
    for (const std::string &body : {std::string("ok"), std::string(kLargeBodyBytes, 'x')}) {
        tcp::socket caller = connectAccepted();
        send(caller, std::string(kRequest) + std::string(kRequest));
        runUntil([&] { return !held.empty(); });
        held.front()->respond({200, {}, body});
        held.clear();
        runReady();
        checkOnlyAnswer(caller, body);
    }
    BOOST_TEST(handled == 2);
}

// Guards against closing a connection whose request has arrived and isn't read yet.
BOOST_FIXTURE_TEST_CASE(request_in_the_kernel_keeps_its_connection, StopFixture)
{
    startAnsweringServer();
    tcp::socket caller = connectAccepted();
    send(caller, kRequest);
    closeIdleSessions(*group, 0ms);
    BOOST_TEST(statusOfResponse(caller) == 200U);
    send(caller, kRequest);
    closeIdleSessions(*group, 0ms);
    BOOST_TEST(statusOfResponse(caller) == 200U);
    BOOST_TEST(group->counts.closedIdle == 0U);
}

// Guards against closing a connection on which the first part of a request was read.
BOOST_FIXTURE_TEST_CASE(part_of_a_request_keeps_its_connection, StopFixture)
{
    startAnsweringServer();
    for (const PartOfRequest &part : kPartsOfRequests) {
        BOOST_TEST_CONTEXT("after '" << part.first << "'")
        {
            tcp::socket caller = connectAccepted();
            send(caller, part.first);
            runReady();
            closeIdleSessions(*group, 0ms);
            send(caller, part.rest);
            BOOST_TEST(statusOfResponse(caller) == 200U);
            caller.close();
            runUntil([&] { return group->sessions.empty(); });
        }
    }
    BOOST_TEST(group->counts.closedIdle == 0U);
}

// Guards against closing a connection whose request is being answered.
BOOST_FIXTURE_TEST_CASE(request_in_progress_keeps_its_connection, StopFixture)
{
    startHoldingServer();
    tcp::socket caller = connectAccepted();
    send(caller, kRequest);
    runUntil([&] { return !held.empty(); });
    closeIdleSessions(*group, 0ms);
    held.front()->respond({200, {}, "ok"});
    closeIdleSessions(*group, 0ms);
    BOOST_TEST(statusOfResponse(caller) == 200U);
}

// Guards against closing new connections under their first request, and those that have just been
// used under the next one.
BOOST_FIXTURE_TEST_CASE(connections_are_closed_after_their_quiet_period, StopFixture)
{
    startAnsweringServer();
    tcp::socket unused = connectAccepted();
    tcp::socket used = connectAccepted();
    closeIdleSessions(*group, kLongPeriod);
    BOOST_TEST(statusOfRequest(used) == 200U);
    closeIdleSessions(*group, kLongPeriod);
    BOOST_TEST(!isClosed(unused));
    BOOST_TEST(!isClosed(used));
    checkLoad(0, 0, 2);
    closeIdleSessions(*group, 0ms);
    BOOST_TEST(isClosed(unused));
    BOOST_TEST(group->sessions.empty());
    BOOST_TEST(group->counts.closedIdle == 2U);
    BOOST_TEST(group->counts.closedUnused == 1U);
}

// Guards against a quiet period that counts from the start of a connection and not from its last
// answer.
BOOST_FIXTURE_TEST_CASE(quiet_period_begins_with_the_last_answer, StopFixture)
{
    startAnsweringServer();
    tcp::socket caller = connectAccepted();
    const auto started = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(1s);
    BOOST_TEST(statusOfRequest(caller) == 200U);
    closeIdleSessions(*group, std::chrono::duration_cast<std::chrono::milliseconds>(
                                      std::chrono::steady_clock::now() - started));
    BOOST_TEST(group->counts.closedIdle == 0U);
}

// Guards against the exit of a process under a request that has arrived in part or isn't read yet:
// it gets one answer.
BOOST_FIXTURE_TEST_CASE(last_call_rejects_requests_that_were_not_passed_on, StopFixture)
{
    startHoldingServer();
    const auto check = [&](std::string_view bytes, bool isRead) {
        BOOST_TEST_CONTEXT("after '" << bytes << "', read: " << isRead)
        {
            tcp::socket caller = connectAccepted();
            send(caller, bytes);
            if (isRead)
                runReady();
            endRequests(*group);
            endRequests(*group);
            const Received all = receiveAll(caller);
            BOOST_TEST(all.bytes.starts_with("HTTP/1.1 408 "));
            BOOST_TEST(countOf(all.bytes, "HTTP/1.1 ") == 1U);
            BOOST_TEST(countOf(all.bytes, "Connection: close\r\n") == 1U);
            BOOST_TEST(all.end == boost::asio::error::eof);
            caller.close();
            runUntil([&] { return group->sessions.empty(); });
        }
    };
    for (const PartOfRequest &part : kPartsOfRequests) {
        check(part.first, true);
        check(part.first, false);
    }
    check(kRequest, false);
    BOOST_TEST(group->counts.lastCalls == 9U);
    BOOST_TEST(handled == 0);
}

// Guards against the exit under a request in progress: its handler answers, once.
BOOST_FIXTURE_TEST_CASE(last_call_asks_the_handler_for_its_answer, StopFixture)
{
    startHoldingServer();
    tcp::socket caller = connectAccepted();
    send(caller, kRequest);
    runUntil([&] { return !held.empty(); });
    int calls = 0;
    held.front()->onLastCall([&] {
        ++calls;
        held.front()->respond({504, {}, "late"});
    });
    announceEnd(*group);
    endRequests(*group);
    endRequests(*group);
    held.front()->respond({200, {}, "ok"});
    const Received all = receiveAll(caller);
    BOOST_TEST(all.bytes.starts_with("HTTP/1.1 504 "));
    BOOST_TEST(countOf(all.bytes, "HTTP/1.1 ") == 1U);
    BOOST_TEST(all.bytes.ends_with("late"));
    BOOST_TEST(calls == 1);
    BOOST_TEST(group->counts.lastCalls == 1U);
}

// Guards against a last call that reaches the handler of a request that was answered.
BOOST_FIXTURE_TEST_CASE(last_call_is_dropped_with_the_answer, StopFixture)
{
    startHoldingServer();
    tcp::socket caller = connectAccepted();
    send(caller, kRequest);
    runUntil([&] { return !held.empty(); });
    int calls = 0;
    held.front()->onLastCall([&] { ++calls; });
    held.front()->respond({200, {}, "ok"});
    endRequests(*group);
    BOOST_TEST(statusOfResponse(caller) == 200U);
    endRequests(*group);
    BOOST_TEST(calls == 0);
    BOOST_TEST(!isClosed(caller));
    BOOST_TEST(group->counts.lastCalls == 0U);
}

// Guards against a stream that gets a second head in its middle.
BOOST_FIXTURE_TEST_CASE(last_call_leaves_a_stream_that_has_begun, StopFixture)
{
    startHoldingServer();
    tcp::socket caller = connectAccepted();
    send(caller, kRequest);
    runUntil([&] { return !held.empty(); });
    announceEnd(*group);
    held.front()->onLastCall([&] { held.front()->respond({504, {}, "late"}); });
    held.front()->beginStream({200, {}});
    held.front()->writeChunk("one");
    endRequests(*group);
    held.front()->writeChunk("two");
    held.front()->endStream();
    const Received all = receiveAll(caller);
    BOOST_TEST(countOf(all.bytes, "HTTP/1.1 ") == 1U);
    BOOST_TEST(all.bytes.ends_with("\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"));
    BOOST_TEST(all.end == boost::asio::error::eof);
}

// Guards against an exit under a request that isn't counted, and against a stop that waits for
// connections without one.
BOOST_FIXTURE_TEST_CASE(load_counts_requests_until_their_answer_is_sent, StopFixture)
{
    startHoldingServer();
    checkLoad(0, 0, 0);
    tcp::socket caller = connectAccepted();
    checkLoad(0, 0, 1);
    send(caller, kRequest.substr(0, 5));
    checkLoad(0, 1, 1); // in the kernel
    runReady();
    checkLoad(1, 1, 1);
    send(caller, kRequest.substr(5));
    runUntil([&] { return !held.empty(); });
    checkLoad(1, 0, 1);
    tcp::socket other = connectAccepted();
    send(other, kRequest);
    checkLoad(1, 1, 2);
    runUntil([&] { return held.size() == 2; });
    checkLoad(2, 0, 2);
    held.front()->respond({200, {}, "ok"});
    BOOST_TEST(statusOfResponse(caller) == 200U);
    checkLoad(1, 0, 2);
    announceEnd(*group);
    held.back()->respond({200, {}, "ok"});
    held.clear();
    BOOST_TEST(statusOfResponse(other) == 200U);
    // The session waits for the caller's close. What it still sends is no request.
    send(other, kRequest);
    checkLoad(0, 0, 2);
    other.close();
    runUntil([&] { return group->sessions.size() == 1; });
    checkLoad(0, 0, 1);
    caller.close();
    runUntil([&] { return group->sessions.empty(); });
    checkLoad(0, 0, 0);
}

// Guards against an exit under an answer that the caller has not received yet.
BOOST_FIXTURE_TEST_CASE(load_counts_answers_that_are_not_fully_sent, StopFixture)
{
    startHoldingServer();
    announceEnd(*group);
    tcp::socket caller = connectAccepted();
    send(caller, kRequest);
    runUntil([&] { return !held.empty(); });
    const std::string body(kLargeBodyBytes, 'x');
    held.front()->respond({200, {}, body});
    held.clear();
    runReady();
    checkLoad(1, 0, 1);
    closeIdleSessions(*group, 0ms);
    checkLoad(1, 0, 1);
    BOOST_TEST(receiveAll(caller).bytes.ends_with(body));
    checkLoad(0, 0, 1);
}
