// The accept loop.

#include "net/tcp_acceptor.h"

#include "net/address.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Delay after a failed accept, for example when the process has run out of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

// Its pending operation keeps it alive.
class TcpAcceptor : public std::enable_shared_from_this<TcpAcceptor>
{
public:
    TcpAcceptor(asio::io_context &io, std::function<void(tcp::socket)> onAccepted)
        : acceptor_(io)
        , retryTimer_(io)
        , onAccepted_(std::move(onAccepted))
    {}

    Result<void> listen(const tcp::endpoint &endpoint)
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

    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](const error_code &error,
                                                           tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (error) {
                self->retryTimer_.expires_after(kAcceptRetryDelay);
                self->retryTimer_.async_wait([self](const error_code &) { self->accept(); });
                return;
            }
            self->onAccepted_(std::move(socket));
            self->accept();
        });
    }

private:
    tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_;
    std::function<void(tcp::socket)> onAccepted_;
};

} // namespace

Result<void> acceptConnections(asio::io_context &io, const std::string &address,
                               std::function<void(tcp::socket)> onAccepted)
{
    BOOST_OUTCOME_TRY(endpoint, parseAddress(address));
    const auto acceptor = std::make_shared<TcpAcceptor>(io, std::move(onAccepted));
    BOOST_OUTCOME_TRYV(acceptor->listen(endpoint));
    acceptor->accept();
    return core::outcome::success();
}

} // namespace fireflyroute::net
