// Reuse of endpoint connections.

#include "app/endpoint_pool.h"

#include "net/address.h"

#include <chrono>
#include <optional>

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

std::shared_ptr<net::EndpointConnection> EndpointPool::takeIdle(const core::EndpointId &id,
                                                                const core::RequestId &request,
                                                                ConnectionPath path)
{
    Connections &idle = idle_[{id, path}];
    for (auto it = idle.end(); it != idle.begin();) {
        const std::shared_ptr<net::EndpointConnection> connection = *--it;
        if (isExpired(*connection)) {
            connection->cancel();
            it = idle.erase(it);
        } else if (!request.empty() && !connection->hasCarried(request.value())) {
            idle.erase(it);
            ++reused_;
            connection->recordRequestId(request.value());
            return connection;
        }
    }
    return nullptr;
}

std::shared_ptr<net::EndpointConnection> EndpointPool::open(const core::EndpointRecord &endpoint,
                                                            const core::RequestId &request,
                                                            const std::string &relay)
{
    const auto address = net::parseAddress(endpoint.address);
    if (!address)
        return nullptr;
    std::optional<boost::asio::ip::tcp::endpoint> relayAddress;
    if (!relay.empty()) {
        const auto parsed = net::parseAddress(relay);
        if (!parsed)
            return nullptr;
        relayAddress = parsed.value();
    }
    ++opened_;
    auto connection = std::make_shared<net::EndpointConnection>(io_, address.value(), relayAddress);
    connection->recordRequestId(request.value());
    return connection;
}

void EndpointPool::release(const core::EndpointRecord &endpoint,
                           const std::shared_ptr<net::EndpointConnection> &connection)
{
    Connections &idle = idle_[{endpoint.id, pathOf(*connection)}];
    if (connection->isReusable() && idle.size() < kMaxIdlePerEndpoint)
        idle.push_back(connection);
    else
        connection->cancel();
}

void EndpointPool::closeIdle(const core::EndpointId &id)
{
    closeIdle(id, ConnectionPath::Direct);
    closeIdle(id, ConnectionPath::Relayed);
}

void EndpointPool::closeIdle(const core::EndpointId &id, ConnectionPath path)
{
    const auto found = idle_.find({id, path});
    if (found == idle_.end())
        return;
    for (const auto &connection : found->second)
        connection->cancel();
    idle_.erase(found);
}

void EndpointPool::closeAll(ConnectionPath path)
{
    std::erase_if(idle_, [path](const auto &entry) {
        if (entry.first.second != path)
            return false;
        for (const auto &connection : entry.second)
            connection->cancel();
        return true;
    });
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
