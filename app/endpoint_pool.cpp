// Reuse of endpoint connections.

#include "app/endpoint_pool.h"

#include "net/address.h"

#include <chrono>

namespace fireflyroute::app {

namespace {

// Time before the end of the endpoint's keep-alive timeout during which a connection is not reused,
// so that a request does not race with the endpoint's close.
constexpr std::chrono::milliseconds kKeepAliveMargin{1500};

// Maximum number of idle connections per endpoint. More would only be used in bursts.
constexpr std::size_t kMaxIdlePerEndpoint = 24;

bool isExpired(const net::EndpointConnection &connection)
{
    const auto idle = std::chrono::steady_clock::now() - connection.idleSince();
    return !connection.isReusable() || idle + kKeepAliveMargin >= connection.keepAliveTimeout();
}

} // namespace

std::shared_ptr<net::EndpointConnection> EndpointPool::acquire(const core::EndpointRecord &endpoint,
                                                               const core::RequestId &request)
{
    std::shared_ptr<net::EndpointConnection> connection = takeIdle(endpoint.id, request);
    if (connection) {
        ++reused_;
    } else {
        const auto address = net::parseAddress(endpoint.address);
        if (!address)
            return nullptr;
        ++opened_;
        connection = std::make_shared<net::EndpointConnection>(io_, address.value());
    }
    connection->recordRequestId(request.value());
    return connection;
}

std::shared_ptr<net::EndpointConnection> EndpointPool::takeIdle(const core::EndpointId &endpoint,
                                                                const core::RequestId &request)
{
    Connections &idle = idle_[endpoint];
    for (auto it = idle.end(); it != idle.begin();) {
        const std::shared_ptr<net::EndpointConnection> connection = *--it;
        if (isExpired(*connection)) {
            connection->cancel();
            it = idle.erase(it);
        } else if (!request.empty() && !connection->hasCarried(request.value())) {
            idle.erase(it);
            return connection;
        }
    }
    return nullptr;
}

void EndpointPool::release(const core::EndpointRecord &endpoint,
                           const std::shared_ptr<net::EndpointConnection> &connection)
{
    Connections &idle = idle_[endpoint.id];
    if (connection->isReusable() && idle.size() < kMaxIdlePerEndpoint)
        idle.push_back(connection);
    else
        connection->cancel();
}

void EndpointPool::closeIdle(const core::EndpointId &id)
{
    const auto found = idle_.find(id);
    if (found == idle_.end())
        return;
    for (const auto &connection : found->second)
        connection->cancel();
    idle_.erase(found);
}

void EndpointPool::closeExpired()
{
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [](const auto &connection) {
            const bool expired = isExpired(*connection);
            if (expired)
                connection->cancel();
            return expired;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace fireflyroute::app
