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

std::shared_ptr<net::EndpointConnection> EndpointPool::acquire(const core::EndpointRecord &endpoint)
{
    Connections &idle = idle_[endpoint.id];
    while (!idle.empty()) {
        std::shared_ptr<net::EndpointConnection> connection = std::move(idle.back());
        idle.pop_back();
        if (!isExpired(*connection)) {
            ++reused_;
            return connection;
        }
        connection->cancel();
    }
    const auto address = net::parseAddress(endpoint.address);
    if (!address)
        return nullptr;
    ++opened_;
    return std::make_shared<net::EndpointConnection>(io_, address.value());
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
