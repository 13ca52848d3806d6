// Pool of idle keep-alive connections to endpoints. Used by the traffic thread only.

#ifndef FIREFLYROUTE_APP_ENDPOINT_POOL_H
#define FIREFLYROUTE_APP_ENDPOINT_POOL_H

#include "core/endpoints/endpoint_registry.h"
#include "net/endpoint_connection.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fireflyroute::app {

enum class ConnectionPath { Direct, Relayed };

class EndpointPool
{
public:
    explicit EndpointPool(boost::asio::io_context &io)
        : io_(io)
    {}

    // Takes the most recently used idle connection to the endpoint that has not carried a request
    // with the id. Null if there is none, and for a request without an id.
    [[nodiscard]] std::shared_ptr<net::EndpointConnection>
    takeIdle(const core::EndpointId &id, const core::RequestId &request, ConnectionPath path);

    // Returns a new connection to the endpoint for the request, through the relay at "IP:PORT" if
    // it is not empty. Null if an address is invalid.
    [[nodiscard]] std::shared_ptr<net::EndpointConnection>
    open(const core::EndpointRecord &endpoint, const core::RequestId &request,
         const std::string &relay);

    // Returns a connection to the pool after a complete answer. Closes it if it is not reusable or
    // if enough connections are idle.
    void release(const core::EndpointRecord &endpoint,
                 const std::shared_ptr<net::EndpointConnection> &connection);

    // Closes the idle connections to an endpoint. Called after the endpoint was removed or
    // replaced.
    void closeIdle(const core::EndpointId &id);

    // Closes those that take the same path as a connection that failed: they may have failed too.
    void closeIdle(const core::EndpointId &id, ConnectionPath path);

    // Closes all idle connections that take the path.
    void closeAll(ConnectionPath path);

    // Closes connections whose keep-alive timeout is about to expire.
    void closeExpired();

    [[nodiscard]] std::uint64_t opened() const { return opened_; }
    [[nodiscard]] std::uint64_t reused() const { return reused_; }

    [[nodiscard]] static ConnectionPath pathOf(const net::EndpointConnection &connection)
    {
        return connection.isRelayed() ? ConnectionPath::Relayed : ConnectionPath::Direct;
    }

private:
    using Connections = std::vector<std::shared_ptr<net::EndpointConnection>>;

    boost::asio::io_context &io_;
    // The most recently used connection is last. All connections of one list belong to the same
    // incarnation of the endpoint.
    std::map<std::pair<core::EndpointId, ConnectionPath>, Connections> idle_;
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
};

} // namespace fireflyroute::app

#endif
