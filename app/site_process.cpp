// Metrics endpoint of a site's processes, and the bounds of their listeners.

#include "app/site_process.h"

#include <malloc.h>

namespace fireflyroute::app {

namespace {

// The load balancer and a few scrapers, each with a connection or two.
constexpr std::size_t kProbeConnections = 64;
constexpr std::size_t kProbeHeldBytes = std::size_t(4) << 20U;

// Of readiness probes and scrapes, which have no body to speak of.
constexpr net::RequestLimits kProbeLimits{16U << 10U, 16U << 10U};

// Below the size of large configurations, and above that of all frequent allocations.
constexpr int kLargeBlockBytes = 1 << 20;

} // namespace

net::GroupLimits callerBounds(const SiteSettings &settings)
{
    net::GroupLimits bounds;
    bounds.held.totalBytes = settings.heldBytes;
    bounds.connections = settings.maxCallers;
    return bounds;
}

net::GroupLimits probeBounds()
{
    net::GroupLimits bounds;
    bounds.held.totalBytes = kProbeHeldBytes;
    bounds.connections = kProbeConnections;
    return bounds;
}

net::SessionLimits probeLimits()
{
    return {kProbeLimits};
}

void releaseLargeBlocks()
{
    // A value that is set stays; the default one rises to the largest block that was freed.
    mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

void logClosings(net::SessionGroup &group, StructuredLog &log)
{
    group.onClosedForOthers = [&group, &log](const net::ClosedSession &closed) {
        LogLine(log, LogKind::Connection)
                .add("reason", core::nameOf(closed.reason))
                .add("bytes", static_cast<std::int64_t>(closed.bytes))
                .add("quiet_ms", closed.sinceProgress.count())
                .add("held_bytes", static_cast<std::int64_t>(group.budget.usedBytes()))
                .add("limit_bytes", static_cast<std::int64_t>(group.bounds.held.totalBytes))
                .add("connections", static_cast<std::int64_t>(group.sessions.size()))
                .add("waiting", static_cast<std::int64_t>(group.waiting.size()));
    };
}

Result<void> serveMetrics(boost::asio::io_context &io, const std::string &address,
                          std::function<void(std::function<void(std::string)>)> render)
{
    if (address.empty())
        return core::outcome::success();
    const auto sessions = net::acceptSessions(
            io, address, probeLimits(),
            [render = std::move(render)](const std::shared_ptr<net::ServerSession> &session,
                                         const net::HttpRequestMessage &request) {
                if (request.target != "/metrics") {
                    session->respond({404, {}, {}});
                    return;
                }
                render([session](std::string text) {
                    session->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, text});
                });
            },
            probeBounds());
    if (!sessions)
        return fromNet(sessions.error());
    return core::outcome::success();
}

} // namespace fireflyroute::app
