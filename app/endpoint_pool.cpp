// Reuse of connections.

#include "app/endpoint_pool.h"

#include "net/address.h"

#include <chrono>

namespace fireflyroute::app {

namespace {

// An endpoint's own timeout less this much: a request must not cross its close.
constexpr std::chrono::milliseconds kKeepAliveMargin{1500};

// Idle connections kept to one endpoint; more are only needed in bursts.
constexpr std::size_t kMaxIdle = 24;

bool isStale(const net::EndpointConnection &connection)
{
    const auto idle = std::chrono::steady_clock::now() - connection.idleSince();
    return !connection.isReusable() || idle + kKeepAliveMargin >= connection.keepAlive();
}

} // namespace

std::shared_ptr<net::EndpointConnection> EndpointPool::take(const core::EndpointRecord &endpoint)
{
    Connections &idle = idle_[endpoint.id];
    while (!idle.empty()) {
        std::shared_ptr<net::EndpointConnection> connection = std::move(idle.back());
        idle.pop_back();
        if (!isStale(*connection)) {
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

void EndpointPool::giveBack(const core::EndpointRecord &endpoint,
                            const std::shared_ptr<net::EndpointConnection> &connection)
{
    Connections &idle = idle_[endpoint.id];
    if (connection->isReusable() && idle.size() < kMaxIdle)
        idle.push_back(connection);
    else
        connection->cancel();
}

void EndpointPool::drop(const core::EndpointId &id)
{
    const auto found = idle_.find(id);
    if (found == idle_.end())
        return;
    for (const auto &connection : found->second)
        connection->cancel();
    idle_.erase(found);
}

void EndpointPool::expire()
{
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [](const auto &connection) {
            const bool stale = isStale(*connection);
            if (stale)
                connection->cancel();
            return stale;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace fireflyroute::app
