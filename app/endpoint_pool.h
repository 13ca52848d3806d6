// Pool of idle keep-alive connections to endpoints. Used by the traffic thread only.

#ifndef FIREFLYROUTE_APP_ENDPOINT_POOL_H
#define FIREFLYROUTE_APP_ENDPOINT_POOL_H

#include "core/endpoint_registry.h"
#include "net/endpoint_connection.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <vector>

namespace fireflyroute::app {

class EndpointPool
{
public:
    explicit EndpointPool(boost::asio::io_context &io)
        : io_(io)
    {}

    // Returns the most recently used idle connection to the endpoint that has not carried a request
    // with the id, or a new one. A request without an id gets a new one. Null if the endpoint's
    // address is invalid.
    [[nodiscard]] std::shared_ptr<net::EndpointConnection>
    acquire(const core::EndpointRecord &endpoint, const core::RequestId &request);

    // Returns a connection to the pool after a complete answer. Closes it if it is not reusable or
    // if enough connections are idle.
    void release(const core::EndpointRecord &endpoint,
                 const std::shared_ptr<net::EndpointConnection> &connection);

    // Closes the idle connections to an endpoint. Called after one connection failed, since the
    // others may have failed too, and after the endpoint was removed or replaced.
    void closeIdle(const core::EndpointId &id);

    // Closes connections whose keep-alive timeout is about to expire.
    void closeExpired();

    [[nodiscard]] std::uint64_t opened() const { return opened_; }
    [[nodiscard]] std::uint64_t reused() const { return reused_; }

private:
    [[nodiscard]] std::shared_ptr<net::EndpointConnection>
    takeIdle(const core::EndpointId &endpoint, const core::RequestId &request);

    using Connections = std::vector<std::shared_ptr<net::EndpointConnection>>;

    boost::asio::io_context &io_;
    // The most recently used connection is last. All connections of one list belong to the same
    // incarnation of the endpoint.
    std::map<core::EndpointId, Connections> idle_;
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
};

} // namespace fireflyroute::app

#endif
