// The way of each connection to an endpoint: direct or, while this entry is isolated from the
// endpoints, through another entry of the site. Decisions on requests don't depend on it. Used by
// the traffic thread only.
//
// A relay receives the bodies of the requests that it passes on. The entry knows relays by their VM
// only, not by their data centre, so requests that are restricted to regions use direct connections
// only.
//
//   std::optional<EndpointExchange> exchange = path.start(endpoint, request,
//           {mayProbe, mayRelay}, onPathLost, now);
//   exchange->connection->send(bytes, handlers, exchange->connectTimeout);
//   path.recordBytes(*exchange, now);
//   if (path.recordFailure(*exchange, endpoint.id, failure, now)) // the endpoint is at fault
//   path.end(*exchange);

#ifndef FIREFLYROUTE_APP_ENDPOINT_PATH_H
#define FIREFLYROUTE_APP_ENDPOINT_PATH_H

#include "app/endpoint_pool.h"
#include "app/site_settings.h"
#include "app/structured_log.h"
#include "core/paths/path_monitor.h"
#include "core/paths/relay_choice.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fireflyroute::app {

// Which paths a request may take.
struct PathChoice
{
    bool mayProbe = false; // may try the direct path while the entry is isolated
    bool mayRelay = true; // its body may be sent to other entries
};

// One request on a connection.
struct EndpointExchange
{
    std::shared_ptr<net::EndpointConnection> connection;
    std::chrono::milliseconds connectTimeout{};
    core::Instant startedAt;
    std::optional<core::VmId> newRelay; // set if the connection is opened through it
    std::optional<core::PathMonitor::WaitToken> waiting; // set until the end of a direct exchange
    bool opensConnection = false;
    bool isProbe = false; // tries the direct path while the entry is isolated
    bool hasBytes = false;
};

class EndpointPath
{
public:
    EndpointPath(EndpointPool &pool, const SiteSettings &settings, StructuredLog &log);

    // Called when isolation begins or ends.
    std::function<void(bool)> isolationChanged;

    void setRelays(std::vector<core::VmId> relays) { relays_.setRelays(std::move(relays)); }
    void setEndpointCount(std::size_t count) { monitor_.setEndpointCount(count); }

    // Starts an exchange. Nothing if the endpoint's address is invalid. `onPathLost` is called if
    // the path of a direct exchange that may be relayed is lost before end().
    [[nodiscard]] std::optional<EndpointExchange>
    start(const core::EndpointRecord &endpoint, const core::RequestId &request, PathChoice choice,
          std::function<void()> onPathLost, core::Instant now);

    // Bytes of the endpoint were received.
    void recordBytes(EndpointExchange &exchange, core::Instant now);

    // Records that the exchange failed. Returns whether the endpoint may be at fault.
    [[nodiscard]] bool recordFailure(EndpointExchange &exchange, const core::EndpointId &endpoint,
                                     const net::ExchangeFailure &failure, core::Instant now);

    // Records an attempt of this entry, as a relay of others, to connect to an endpoint.
    void recordConnectAttempt(const core::EndpointId &endpoint, bool connected, core::Instant now);

    // Whether a failure of the exchange may be the endpoint's.
    [[nodiscard]] bool mayBlameEndpoint(const EndpointExchange &exchange, core::Instant now) const;

    // The exchange has ended in any way.
    void end(EndpointExchange &exchange);

    // Looks for silent connections. Called each PathMonitor::kCheckInterval.
    void check(core::Instant now);

    [[nodiscard]] core::PathState state() const { return monitor_.state(); }

    // Whether requests are likely to reach endpoints. Without recent evidence they have to show it.
    [[nodiscard]] bool isUsable(core::Instant now) const;

    [[nodiscard]] std::string metrics() const;

private:
    [[nodiscard]] bool canRelay(core::Instant now) const;
    void applyState(core::Instant now);

    EndpointPool &pool_;
    const SiteSettings &settings_;
    StructuredLog &log_;
    core::PathMonitor monitor_;
    core::RelayChooser relays_;
    core::PathState appliedState_ = core::PathState::Sound;
    std::map<core::PathMonitor::WaitToken, std::function<void()>> pathLostHandlers_;
    std::uint64_t relayedConnections_ = 0;
    std::uint64_t isolations_ = 0;
};

} // namespace fireflyroute::app

#endif
