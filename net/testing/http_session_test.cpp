// Connections of callers and to endpoints, against each other and against raw sockets on loopback.

#define BOOST_TEST_MODULE http_session
#include "net/address.h"
#include "net/endpoint_connection.h"
#include "net/server_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace fireflyroute::net;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

// What became of one exchange.
struct Outcome
{
    bool done = false;
    unsigned status = 0;
    std::string body;
    std::optional<ExchangeFailure> failure;
};

struct Fixture
{
    // A peer that plays a script on its first connection: reads a head, then sends the answer.
    std::string scripted(std::vector<std::string> answers, bool thenClose)
    {
        tcp::acceptor acceptor(scriptIo, tcp::endpoint(tcp::v4(), 0));
        const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        script = std::thread([acceptor = std::move(acceptor), answers = std::move(answers),
                              thenClose]() mutable {
            tcp::socket socket = acceptor.accept();
            std::string input;
            for (const std::string &answer : answers) {
                boost::system::error_code error;
                const std::size_t size = boost::asio::read_until(
                        socket, boost::asio::dynamic_buffer(input), "\r\n\r\n", error);
                if (error)
                    return;
                input.erase(0, size);
                boost::asio::write(socket, boost::asio::buffer(answer), error);
            }
            if (thenClose)
                return;
            boost::system::error_code ended;
            (void)boost::asio::read_until(socket, boost::asio::dynamic_buffer(input), "never",
                                          ended);
        });
        return address;
    }

    ~Fixture()
    {
        if (connection)
            connection->cancel();
        if (script.joinable())
            script.join();
    }

    Outcome exchange(const std::string &id)
    {
        auto outcome = std::make_shared<Outcome>();
        ExchangeHandlers handlers;
        handlers.isOurs = [id](const HttpResponseHead &head) {
            const std::string *found = findField(head.fields, "Id");
            return found && *found == id;
        };
        handlers.head = [outcome](const HttpResponseHead &head) { outcome->status = head.status; };
        handlers.body = [outcome](std::string_view piece) { outcome->body += piece; };
        handlers.end = [outcome](AnswerEnd) { outcome->done = true; };
        handlers.failed = [outcome](const ExchangeFailure &failure) {
            outcome->failure = failure;
            outcome->done = true;
        };
        connection->send(encodeRequest({"GET", "/", {{"Host", "h"}, {"Id", id}}, ""}), handlers,
                         1000ms);
        runUntil([&] { return outcome->done; });
        return *outcome;
    }

    // Runs what is ready until the condition holds; the time is a safety limit.
    template<typename Condition>
    void runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            io.restart();
            io.run_one_for(100ms);
        }
        BOOST_REQUIRE(condition());
    }

    void connectTo(const std::string &address)
    {
        connection = std::make_shared<EndpointConnection>(io, parseAddress(address).value());
    }

    boost::asio::io_context scriptIo;
    boost::asio::io_context io;
    std::thread script;
    std::shared_ptr<EndpointConnection> connection;
};

std::string answer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(a_connection_is_used_again, Fixture)
{
    connectTo(scripted({answer("a", "one"), answer("b", "two")}, false));
    BOOST_TEST(exchange("a").body == "one");
    BOOST_TEST(connection->isReusable());
    BOOST_TEST(exchange("b").body == "two");
}

BOOST_FIXTURE_TEST_CASE(a_late_answer_to_another_request_is_skipped, Fixture)
{
    connectTo(scripted({answer("a", "one"), answer("a", "again") + answer("b", "two")}, false));
    BOOST_TEST(exchange("a").body == "one");
    BOOST_TEST(exchange("b").body == "two");
}

BOOST_FIXTURE_TEST_CASE(bytes_behind_an_answer_condemn_the_connection, Fixture)
{
    connectTo(scripted({answer("a", "one") + "more"}, false));
    BOOST_TEST(exchange("a").body == "one");
    BOOST_TEST(!connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_ends_early_is_no_answer, Fixture)
{
    connectTo(scripted({"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nonly"}, true));
    const Outcome outcome = exchange("a");
    BOOST_REQUIRE(outcome.failure);
    BOOST_TEST(outcome.failure->mayHaveArrived);
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_a_length_ends_with_its_connection, Fixture)
{
    connectTo(scripted({"HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole"}, true));
    const Outcome outcome = exchange("a");
    BOOST_TEST(!outcome.failure);
    BOOST_TEST(outcome.body == "whole");
    BOOST_TEST(!connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(a_refused_connection_carried_nothing, Fixture)
{
    tcp::acceptor closed(io, tcp::endpoint(tcp::v4(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    closed.close();
    connectTo(address);
    const Outcome outcome = exchange("a");
    BOOST_REQUIRE(outcome.failure);
    BOOST_TEST(!outcome.failure->mayHaveArrived);
}

BOOST_FIXTURE_TEST_CASE(bytes_that_are_no_answer_are_malformed, Fixture)
{
    connectTo(scripted({"GARBAGE\r\n\r\n"}, true));
    const Outcome outcome = exchange("a");
    BOOST_REQUIRE(outcome.failure);
    BOOST_TEST((outcome.failure->error == ExchangeError::Malformed));
}

BOOST_FIXTURE_TEST_CASE(sessions_refuse_what_is_ambiguous_or_too_large, Fixture)
{
    tcp::acceptor probe(io, tcp::endpoint(tcp::v4(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    probe.close();
    int handled = 0;
    SessionLimits limits;
    limits.headerBytes = 1000;
    limits.bodyBytes = 100;
    const auto group = acceptSessions(
            io, address, limits,
            [&handled](const std::shared_ptr<ServerSession> &session, const HttpRequestMessage &) {
                ++handled;
                session->respond({200, {}, "fine"});
            });
    BOOST_REQUIRE(group);
    const auto statusOf = [&](const std::string &request) {
        tcp::socket socket(io);
        socket.connect(parseAddress(address).value());
        boost::asio::write(socket, boost::asio::buffer(request));
        std::string input;
        bool ended = false;
        boost::asio::async_read_until(
                socket, boost::asio::dynamic_buffer(input), "\r\n",
                [&](const boost::system::error_code &, std::size_t) { ended = true; });
        runUntil([&] { return ended; });
        return input.substr(0, 12);
    };
    BOOST_TEST(statusOf("GET / HTTP/1.1\r\nHost: h\r\n\r\n") == "HTTP/1.1 200");
    BOOST_TEST(statusOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
               == "HTTP/1.1 400");
    BOOST_TEST(statusOf("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n")
               == "HTTP/1.1 431");
    BOOST_TEST(statusOf("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n") == "HTTP/1.1 413");
    BOOST_TEST(handled == 1);
}

BOOST_FIXTURE_TEST_CASE(a_session_notices_a_caller_that_leaves, Fixture)
{
    tcp::acceptor probe(io, tcp::endpoint(tcp::v4(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    probe.close();
    bool asked = false;
    bool gone = false;
    std::shared_ptr<ServerSession> held;
    const auto group = acceptSessions(
            io, address, SessionLimits{},
            [&](const std::shared_ptr<ServerSession> &session, const HttpRequestMessage &) {
                asked = true;
                held = session;
                session->whenGone([&gone] { gone = true; });
            });
    BOOST_REQUIRE(group);
    tcp::socket caller(io);
    caller.connect(parseAddress(address).value());
    boost::asio::write(caller, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    runUntil([&] { return asked; });
    caller.close();
    runUntil([&] { return gone; });
    BOOST_TEST(busySessions(*group.value()) == 1U);
    held.reset();
    BOOST_TEST(group.value()->sessions.empty());
}
