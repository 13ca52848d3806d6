// Direct and relayed connections to endpoints.

#include "app/endpoint_path.h"

#include "net/address.h"

#include <fmt/format.h>
#include <utility>

namespace fireflyroute::app {

namespace {

// Connecting takes one round trip, 24 ms between regions, and 200 ms more if a packet is lost.
constexpr std::chrono::milliseconds kConnectTimeout{600};

// A probe delays a request, so it gets no time for a lost packet; another one follows.
constexpr std::chrono::milliseconds kProbeConnectTimeout{200};

// Time after the last failure during which an entry without any path is not ready. Then the load
// balancer has to send it requests again, which show whether the path is back.
constexpr std::chrono::seconds kUnusablePeriod{4};

} // namespace

EndpointPath::EndpointPath(EndpointPool &pool, const SiteSettings &settings, StructuredLog &log)
    : pool_(pool)
    , settings_(settings)
    , log_(log)
    , relays_(settings.vm)
{}

std::optional<EndpointExchange>
EndpointPath::start(const core::EndpointRecord &endpoint, const core::RequestId &request,
                    PathChoice choice, std::function<void()> onPathLost, core::Instant now)
{
    EndpointExchange exchange;
    exchange.startedAt = now;
    exchange.connectTimeout = kConnectTimeout;
    exchange.isProbe = choice.mayProbe && monitor_.tryProbe(now);
    const bool isRelayed = choice.mayRelay && !exchange.isProbe && canRelay(now);
    const bool mayReuseDirect = !exchange.isProbe && monitor_.state() != core::PathState::Silent;
    if (mayReuseDirect)
        exchange.connection = pool_.takeIdle(endpoint.id, request, ConnectionPath::Direct);
    if (!exchange.connection && isRelayed)
        exchange.connection = pool_.takeIdle(endpoint.id, request, ConnectionPath::Relayed);
    if (!exchange.connection) {
        exchange.opensConnection = true;
        if (isRelayed) {
            exchange.newRelay = relays_.next(now);
            ++relayedConnections_;
        } else if (exchange.isProbe) {
            exchange.connectTimeout = kProbeConnectTimeout;
        }
        exchange.connection =
                pool_.open(endpoint, request,
                           exchange.newRelay ? settings_.relayAddress(*exchange.newRelay) : "");
        if (!exchange.connection)
            return std::nullopt;
    }
    if (!exchange.connection->isRelayed()) {
        exchange.waiting = monitor_.startWaiting(endpoint.id, now);
        if (choice.mayRelay)
            pathLostHandlers_.emplace(*exchange.waiting, std::move(onPathLost));
    }
    return exchange;
}

void EndpointPath::recordBytes(EndpointExchange &exchange, core::Instant now)
{
    const bool isFirst = !std::exchange(exchange.hasBytes, true);
    if (exchange.connection->isRelayed())
        return;
    monitor_.recordBytes(isFirst && exchange.opensConnection ? std::optional(exchange.startedAt)
                                                             : std::nullopt,
                         now);
    applyState(now);
}

bool EndpointPath::recordFailure(EndpointExchange &exchange, const core::EndpointId &endpoint,
                                 const net::ExchangeFailure &failure, core::Instant now)
{
    end(exchange);
    if (failure.error == net::ExchangeError::RelayFailed) {
        // A relay that knows no such endpoint may still serve others.
        if (exchange.newRelay && failure.relayAnswer != net::TunnelStatus::NotAllowed)
            relays_.recordFailure(*exchange.newRelay, now);
        return false;
    }
    const bool failedBeforeBytes = exchange.opensConnection && !exchange.hasBytes
                                   && failure.error != net::ExchangeError::Malformed;
    if (failedBeforeBytes && !exchange.connection->isRelayed()) {
        monitor_.recordConnectFailure(endpoint, now);
        applyState(now);
    }
    return mayBlameEndpoint(exchange, now);
}

void EndpointPath::recordConnectAttempt(const core::EndpointId &endpoint, bool connected,
                                        core::Instant now)
{
    if (connected)
        monitor_.recordBytes(now, now);
    else
        monitor_.recordConnectFailure(endpoint, now);
    applyState(now);
}

bool EndpointPath::mayBlameEndpoint(const EndpointExchange &exchange, core::Instant now) const
{
    return exchange.connection->isRelayed() || !canRelay(now);
}

void EndpointPath::end(EndpointExchange &exchange)
{
    if (!exchange.waiting)
        return;
    monitor_.endWaiting(*exchange.waiting);
    pathLostHandlers_.erase(*exchange.waiting);
    exchange.waiting.reset();
}

void EndpointPath::check(core::Instant now)
{
    monitor_.check(now);
    applyState(now);
}

bool EndpointPath::isUsable(core::Instant now) const
{
    return !monitor_.isIsolated() || relays_.hasUsable(now)
           || now - monitor_.failedLastAt() > kUnusablePeriod;
}

bool EndpointPath::canRelay(core::Instant now) const
{
    return monitor_.isIsolated() && relays_.hasUsable(now);
}

void EndpointPath::applyState(core::Instant now)
{
    const core::PathState before = std::exchange(appliedState_, monitor_.state());
    const core::PathState state = appliedState_;
    if (state == before)
        return;
    const bool isSound = state == core::PathState::Sound;
    const core::PathEvidence evidence = monitor_.evidence(now);
    LogLine(log_, LogKind::Link)
            .add("event", isSound ? "endpoints_reached" : "endpoints_lost")
            .add("cause", core::nameOf(isSound ? before : state))
            .add("failed_endpoints", static_cast<std::int64_t>(evidence.failedEndpoints))
            .add("waiting_endpoints", static_cast<std::int64_t>(evidence.waitingEndpoints))
            .add("silent_ms", core::toMillis(evidence.silence))
            .add("can_relay", relays_.hasUsable(now));
    if (before == core::PathState::Sound || isSound) {
        isolations_ += isSound ? 0 : 1;
        if (isolationChanged)
            isolationChanged(!isSound);
    }
    if (isSound) {
        pool_.closeAll(ConnectionPath::Relayed);
        return;
    }
    if (state == core::PathState::Silent)
        pool_.closeAll(ConnectionPath::Direct);
    if (!relays_.hasUsable(now))
        return;
    // A handler may end its exchange and start another one.
    std::vector<std::function<void()>> handlers;
    for (const auto &[token, handler] : pathLostHandlers_)
        handlers.push_back(handler);
    for (const std::function<void()> &handler : handlers)
        handler();
}

std::string EndpointPath::metrics() const
{
    return fmt::format("fireflyroute_entry_isolations_total {}\n"
                       "fireflyroute_entry_relayed_connections_total {}\n",
                       isolations_, relayedConnections_);
}

} // namespace fireflyroute::app
