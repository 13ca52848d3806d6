// The accept loop.

#include "net/tcp_acceptor.h"

#include "net/address.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <linux/filter.h>
#include <sys/socket.h>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Delay after a failed accept, for example when the process has run out of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

// Time for handshakes that have begun when the listener stops: two round trips between regions. A
// caller that begins one meanwhile repeats its first packet after a second, and is then refused.
constexpr std::chrono::milliseconds kHandshakePeriod{50};

// The kernel applies a filter to TCP packets from their TCP header on.
constexpr std::uint32_t kTcpFlagsOffset = 13;
constexpr std::uint32_t kTcpSyn = 0x02;
constexpr std::uint32_t kTcpAck = 0x10;
constexpr std::uint32_t kAcceptPacket = 0xffffffff; // in full

} // namespace

TcpListener::TcpListener(asio::io_context &io, std::function<void(tcp::socket)> onAccepted)
    : acceptor_(io)
    , retryTimer_(io)
    , closeTimer_(io)
    , onAccepted_(std::move(onAccepted))
{}

Result<void> TcpListener::listen(const tcp::endpoint &endpoint)
{
    error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return NetFailure{NetError::BindFailed, error.message()};
    return core::outcome::success();
}

void TcpListener::accept()
{
    acceptor_.async_accept(
            [self = shared_from_this()](const error_code &error, tcp::socket socket) {
                // A connection that was accepted before close() may be reported after it.
                if (!error)
                    self->onAccepted_(std::move(socket));
                if (self->closed_ || error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    self->accept();
                    return;
                }
                self->retryTimer_.expires_after(kAcceptRetryDelay);
                self->retryTimer_.async_wait([self](const error_code &) {
                    if (!self->closed_)
                        self->accept();
                });
            });
}

void TcpListener::stop()
{
    if (std::exchange(stopped_, true))
        return;
    dropNewConnections();
    closeTimer_.expires_after(kHandshakePeriod);
    closeTimer_.async_wait([self = shared_from_this()](const error_code &) { self->close(); });
}

// Closing the socket resets the connections that wait in its queue. None can arrive between the
// last accept() and the close, because new ones have been kept out for some time.
void TcpListener::close()
{
    closed_ = true;
    error_code error;
    acceptor_.cancel(error);
    acceptor_.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (!error)
            onAccepted_(std::move(socket));
        else if (error == asio::error::connection_aborted)
            error.clear();
    }
    acceptor_.close(error);
}

// Lets the kernel drop the first packet of new connections, which their callers repeat. The other
// packets pass: a caller may send a request once it has the answer to its first packet, and would
// be reset if its own confirmation were dropped. Where that isn't supported, connections that
// arrive while the queue is emptied may be reset.
void TcpListener::dropNewConnections()
{
    std::array<sock_filter, 5> dropFirstPackets{{
            BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset),
            BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kTcpSyn | kTcpAck),
            BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kTcpSyn, 0, 1),
            BPF_STMT(BPF_RET | BPF_K, 0),
            BPF_STMT(BPF_RET | BPF_K, kAcceptPacket),
    }};
    const sock_fprog program{dropFirstPackets.size(), dropFirstPackets.data()};
    (void)setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                     sizeof(program));
}

Result<std::shared_ptr<TcpListener>> acceptConnections(asio::io_context &io,
                                                       const std::string &address,
                                                       std::function<void(tcp::socket)> onAccepted)
{
    BOOST_OUTCOME_TRY(endpoint, parseAddress(address));
    auto listener = std::make_shared<TcpListener>(io, std::move(onAccepted));
    BOOST_OUTCOME_TRYV(listener->listen(endpoint));
    listener->accept();
    return listener;
}

} // namespace fireflyroute::net
