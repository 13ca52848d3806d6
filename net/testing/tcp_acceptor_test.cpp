// Tests that a listener ends without a reset for callers that were connected.

#define BOOST_TEST_MODULE tcp_acceptor
#include "net/tcp_acceptor.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <netinet/tcp.h>

using namespace fireflyroute::net;
using boost::asio::ip::tcp;

namespace {

// Where it is off, the kernel sends the last packet of a handshake with the first bytes only.
using QuickAck = boost::asio::detail::socket_option::boolean<IPPROTO_TCP, TCP_QUICKACK>;

} // namespace

// Guards against a stop that drops the last packet of a handshake: the caller is connected, sends
// its request, and is reset because the listener has closed.
BOOST_AUTO_TEST_CASE(stop_resets_no_caller_whose_handshake_has_begun)
{
    boost::asio::io_context io;
    tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), 0);
    {
        tcp::acceptor reservation(io, endpoint);
        endpoint = reservation.local_endpoint();
    }
    std::vector<tcp::socket> accepted;
    const auto listener =
            acceptConnections(io, "127.0.0.1:" + std::to_string(endpoint.port()),
                              [&](tcp::socket socket) { accepted.push_back(std::move(socket)); });
    BOOST_REQUIRE(listener);
    tcp::socket caller(io, tcp::v4());
    caller.set_option(QuickAck(false));
    caller.connect(endpoint);

    listener.value()->stop();
    boost::asio::write(caller, boost::asio::buffer("x", 1));
    io.run(); // until the listener has closed
    BOOST_REQUIRE(accepted.size() == 1U);
    char byte = 0;
    BOOST_TEST(accepted.front().receive(boost::asio::buffer(&byte, 1)) == 1U);

    boost::system::error_code error;
    tcp::socket later(io);
    later.connect(endpoint, error);
    BOOST_TEST((error == boost::asio::error::connection_refused));
}
