// A server on loopback and the steps of its callers, for tests of server sessions. Server and
// callers run on one thread: nothing is read before the test runs pending handlers.
//
//   BOOST_FIXTURE_TEST_CASE(name, ServerFixture)
//   {
//       const std::string address = startServer(SessionLimits());

#ifndef FIREFLYROUTE_NET_TESTING_SERVER_FIXTURE_H
#define FIREFLYROUTE_NET_TESTING_SERVER_FIXTURE_H

#include "net/server_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace fireflyroute::net {

struct ServerFixture
{
    // Runs pending handlers until the condition holds. The deadline only prevents an endless wait.
    template<typename Condition>
    void runUntil(Condition condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(100));
        }
        BOOST_REQUIRE(condition());
    }

    // Starts a server that answers each request with 200. Returns its address.
    std::string startServer(const SessionLimits &limits)
    {
        using boost::asio::ip::tcp;
        tcp::acceptor portReservation(io, tcp::endpoint(tcp::v4(), 0));
        const std::string address =
                "127.0.0.1:" + std::to_string(portReservation.local_endpoint().port());
        portReservation.close();
        auto accepted = acceptSessions(
                io, address, limits,
                [](const std::shared_ptr<ServerSession> &session, const HttpRequestMessage &) {
                    session->respond({200, {}, "ok"});
                });
        BOOST_REQUIRE(accepted);
        group = accepted.value();
        return address;
    }

    unsigned statusOfRequest(boost::asio::ip::tcp::socket &caller)
    {
        boost::asio::write(caller, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        return statusOfResponse(caller);
    }

    // Returns the status of the next response, or 0 if the server ended the connection.
    unsigned statusOfResponse(boost::asio::ip::tcp::socket &caller)
    {
        std::string received;
        std::optional<boost::system::error_code> result;
        boost::asio::async_read_until(
                caller, boost::asio::dynamic_buffer(received), "\r\n\r\n",
                [&](const boost::system::error_code &error, std::size_t) { result = error; });
        runUntil([&] { return result.has_value(); });
        return *result ? 0 : static_cast<unsigned>(std::stoul(received.substr(9, 3)));
    }

    boost::asio::io_context io;
    std::shared_ptr<SessionGroup> group; // of startServer()
};

} // namespace fireflyroute::net

#endif
