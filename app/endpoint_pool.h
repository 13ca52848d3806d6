// Open connections to endpoints that wait for the next request. Belongs to the traffic thread.

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

    // A connection to the endpoint: the one used last among those that wait, or a new one. Null if
    // the address can't be read.
    [[nodiscard]] std::shared_ptr<net::EndpointConnection>
    take(const core::EndpointRecord &endpoint);

    // Gives a connection back after a whole answer; closed unless it can be used again.
    void giveBack(const core::EndpointRecord &endpoint,
                  const std::shared_ptr<net::EndpointConnection> &connection);

    // Closes the connections that wait: they may be dead, as one to the same endpoint was.
    void drop(const core::EndpointId &id);

    // Closes connections that the endpoints are about to close.
    void expire();

    [[nodiscard]] std::uint64_t opened() const { return opened_; }
    [[nodiscard]] std::uint64_t reused() const { return reused_; }

private:
    using Connections = std::vector<std::shared_ptr<net::EndpointConnection>>;

    boost::asio::io_context &io_;
    std::map<core::EndpointId, Connections> idle_; // newest last; of one life of the endpoint each
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
};

} // namespace fireflyroute::app

#endif
