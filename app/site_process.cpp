// Metrics endpoint of a site's processes.

#include "app/site_process.h"

namespace fireflyroute::app {

Result<void> serveMetrics(boost::asio::io_context &io, const std::string &address,
                          std::function<void(std::function<void(std::string)>)> render)
{
    if (address.empty())
        return core::outcome::success();
    const auto sessions = net::acceptSessions(
            io, address, net::SessionLimits{},
            [render = std::move(render)](const std::shared_ptr<net::ServerSession> &session,
                                         const net::HttpRequestMessage &request) {
                if (request.target != "/metrics") {
                    session->respond({404, {}, {}});
                    return;
                }
                render([session](std::string text) {
                    session->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, text});
                });
            });
    if (!sessions)
        return fromNet(sessions.error());
    return core::outcome::success();
}

} // namespace fireflyroute::app
