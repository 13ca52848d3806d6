// The accept loop.

#include "net/tcp_acceptor.h"

#include "net/address.h"

#include <chrono>
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

} // namespace

TcpListener::TcpListener(asio::io_context &io, std::function<void(tcp::socket)> onAccepted)
    : acceptor_(io)
    , retryTimer_(io)
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
                // A connection that was accepted before stop() may be reported after it.
                if (!error)
                    self->onAccepted_(std::move(socket));
                if (self->stopped_ || error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    self->accept();
                    return;
                }
                self->retryTimer_.expires_after(kAcceptRetryDelay);
                self->retryTimer_.async_wait([self](const error_code &) {
                    if (!self->stopped_)
                        self->accept();
                });
            });
}

void TcpListener::stop()
{
    if (std::exchange(stopped_, true))
        return;
    // Closing the socket resets the connections that wait in its queue. None can arrive between
    // the last accept() and the close.
    dropNewConnections();
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

// Lets the kernel drop the packets of new connections, which their callers repeat. Where that isn't
// supported, connections that arrive while the queue is emptied may be reset.
void TcpListener::dropNewConnections()
{
    sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &dropAll};
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
