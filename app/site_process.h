// A process of a site: the parts of its role, wired to sockets, signals and timers.
//
//   return runSite<platform::Dialect>(settings);

#ifndef FIREFLYROUTE_APP_SITE_PROCESS_H
#define FIREFLYROUTE_APP_SITE_PROCESS_H

#include "app/proxy_request.h"
#include "app/signals.h"
#include "app/site_control.h"
#include "app/site_entry.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <concepts>
#include <cstdlib>
#include <thread>

namespace fireflyroute::app {

// Reads and writes the calls of operators, endpoints and the balancer.
template<typename D>
concept ControlDialect = requires(const net::HttpRequestMessage &call,
                                  const core::ControlAnswer &answer, std::string_view document)
{
    {
        D::decodeControlCall(call)
        } -> std::same_as<core::ControlCall>;
    {
        D::encodeControlAnswer(call, answer)
        } -> std::same_as<net::HttpResponseMessage>;
    {
        D::answerReadiness(call, true)
        } -> std::same_as<net::HttpResponseMessage>;
    D::decodeConfig(document);
};

template<typename D>
concept SiteDialect = TrafficDialect<D> && ControlDialect<D>;

// Time left before the kill, in which a process ends by itself.
constexpr std::chrono::milliseconds kExitMargin{450};

// How often a stopping entry looks whether its last requests are answered.
constexpr std::chrono::milliseconds kStopPoll{100};

// Between two reports of outcomes while a roll-out is under way.
constexpr std::chrono::milliseconds kOutcomePeriod{300};

constexpr std::chrono::milliseconds kTendPeriod{1000};

// Between two reports of work. Shorter than a long prompt takes to be read.
constexpr std::chrono::milliseconds kWorkPeriod{150};

// A control VM that stops answers calls for a moment longer, while its successor is elected.
constexpr std::chrono::milliseconds kHandOverPeriod{900};

// Serves the text that `render` hands to its callback as metrics.
[[nodiscard]] Result<void>
serveMetrics(boost::asio::io_context &io, const std::string &address,
             std::function<void(std::function<void(std::string)>)> render);

// An entry: callers on the traffic thread, everything else on the control thread.
template<SiteDialect Dialect>
class EntryProcess
{
public:
    EntryProcess(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log)
        : io_(io)
        , settings_(settings)
        , work_(boost::asio::make_work_guard(traffic_))
        , plane_(traffic_, settings, log)
        , entry_(io, settings, log, decodeConfig, outputs())
        , outcomeTimer_(io)
        , tendTimer_(traffic_)
        , workTimer_(traffic_)
        , stopTimer_(io)
    {}

    Result<void> start()
    {
        const auto callers = net::acceptSessions(
                traffic_, settings_.callerAddress, net::SessionLimits{},
                [this](const std::shared_ptr<net::ServerSession> &session,
                       net::HttpRequestMessage request) {
                    std::make_shared<ProxyRequest<Dialect>>(plane_, session, std::move(request))
                            ->start();
                });
        if (!callers)
            return fromNet(callers.error());
        callers_ = callers.value();
        const auto readiness =
                net::acceptSessions(io_, settings_.readinessAddress, net::SessionLimits{},
                                    [this](const std::shared_ptr<net::ServerSession> &session,
                                           const net::HttpRequestMessage &request) {
                                        session->respond(Dialect::answerReadiness(
                                                request, !stopping_ && entry_.isReady()));
                                    });
        if (!readiness)
            return fromNet(readiness.error());
        BOOST_OUTCOME_TRYV(serveMetrics(io_, settings_.metricsAddress, [this](const auto &done) {
            boost::asio::post(traffic_, [this, done] {
                boost::asio::post(io_, [this, done, text = plane_.metrics()] {
                    done(entry_.metrics() + text);
                });
            });
        }));
        entry_.start();
        tend();
        reportOutcomes();
        exchangeWork();
        trafficThread_ = std::thread([this] { traffic_.run(); });
        return core::outcome::success();
    }

    void reload(const SiteSettings &settings) { entry_.reload(settings); }

    // Out of the balancer's rotation first, then without idle connections, and gone once the last
    // request is answered.
    void stop()
    {
        stopping_ = true;
        stopAt_ = clock_.now();
        boost::asio::post(traffic_, [this, from = stopAt_ + settings_.intakePeriod] {
            plane_.refusesFrom = from;
        });
        stopTimer_.expires_after(settings_.drainPeriod);
        stopTimer_.async_wait([this](const boost::system::error_code &) { endWhenIdle(); });
    }

private:
    static std::shared_ptr<const core::SiteConfig> decodeConfig(std::string_view document)
    {
        const auto config = Dialect::decodeConfig(document);
        return config ? config.value() : nullptr;
    }

    EntryOutputs outputs()
    {
        EntryOutputs outputs;
        outputs.viewChanged = [this](std::shared_ptr<const core::SiteView> view) {
            boost::asio::post(traffic_, [this, view = std::move(view)] { takeView(view); });
        };
        outputs.currentUntil = [this](core::Instant until) {
            boost::asio::post(traffic_, [this, until] {
                plane_.currentUntil = until;
                plane_.changed();
            });
        };
        outputs.othersWork = [this](core::WorkReport report) {
            boost::asio::post(traffic_, [this, report = std::move(report)] {
                plane_.monitor.heardOthers(report, clock_.now());
            });
        };
        outputs.othersNews = [this](core::EntryNews news) {
            boost::asio::post(traffic_, [this, news = std::move(news)] { plane_.heardNews(news); });
        };
        return outputs;
    }

    // Tells the leader what this entry has sent, which versions run its sessions, which prompts the
    // endpoints have read and which endpoints refuse connections; learns the same of the others.
    void exchangeWork()
    {
        workTimer_.expires_after(kWorkPeriod);
        workTimer_.async_wait([this](const boost::system::error_code &) {
            boost::asio::post(io_,
                              [this, report = plane_.monitor.ownWork(), news = plane_.takeNews()] {
                                  entry_.tellLeader(report);
                                  if (!news.isEmpty())
                                      entry_.tellLeader(news);
                              });
            exchangeWork();
        });
    }

    void takeView(const std::shared_ptr<const core::SiteView> &view)
    {
        plane_.setView(view);
        if (!view->table)
            return;
        const core::CallerLimits &limits = view->table->config().limits;
        const auto toMillis = [](core::Duration duration) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
        };
        callers_->limits = {limits.headerBytes, limits.bodyBytes, toMillis(limits.headerTimeout),
                            toMillis(limits.idleTimeout)};
        plane_.changed();
    }

    void tend()
    {
        tendTimer_.expires_after(kTendPeriod);
        tendTimer_.async_wait([this](const boost::system::error_code &) {
            plane_.tend();
            tend();
        });
    }

    void reportOutcomes()
    {
        outcomeTimer_.expires_after(kOutcomePeriod);
        outcomeTimer_.async_wait([this](const boost::system::error_code &) {
            if (entry_.isRolloutUnderWay()) {
                boost::asio::post(traffic_, [this] {
                    boost::asio::post(io_, [this, report = plane_.takeOutcomes(clock_.now())] {
                        entry_.tellLeader(report);
                    });
                });
            }
            reportOutcomes();
        });
    }

    void endWhenIdle()
    {
        const bool isOver =
                clock_.now() - stopAt_ + kExitMargin + kStopPoll >= settings_.gracePeriod;
        boost::asio::post(traffic_, [this, isOver] {
            net::closeGently(*callers_);
            const bool isIdle = net::busySessions(*callers_) == 0;
            if (isIdle || isOver)
                boost::asio::post(io_, [this] { io_.stop(); });
        });
        stopTimer_.expires_after(kStopPoll);
        stopTimer_.async_wait([this](const boost::system::error_code &) { endWhenIdle(); });
    }

    boost::asio::io_context &io_; // of the control thread
    const SiteSettings settings_;
    BootClock clock_;
    boost::asio::io_context traffic_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    TrafficPlane plane_; // belongs to the traffic thread
    std::shared_ptr<net::SessionGroup> callers_; // belongs to the traffic thread
    SiteEntry entry_;
    boost::asio::steady_timer outcomeTimer_;
    boost::asio::steady_timer tendTimer_; // of the traffic thread
    boost::asio::steady_timer workTimer_; // of the traffic thread
    boost::asio::steady_timer stopTimer_;
    bool stopping_ = false;
    core::Instant stopAt_;
    std::thread trafficThread_;
};

// A control VM: everything but the disk on the control thread.
template<SiteDialect Dialect>
class ControlProcess
{
public:
    ControlProcess(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log)
        : io_(io)
        , settings_(settings)
        , log_(log)
        , stopTimer_(io)
    {}

    Result<void> start()
    {
        BOOST_OUTCOME_TRY(control, SiteControl::open(io_, settings_, log_));
        control_ = std::move(control);
        BOOST_OUTCOME_TRYV(control_->start());
        const auto calls = net::acceptSessions(
                io_, settings_.controlAddress, net::SessionLimits{},
                [this](const std::shared_ptr<net::ServerSession> &session,
                       const net::HttpRequestMessage &request) {
                    control_->call(Dialect::decodeControlCall(request),
                                   [session, request](const core::ControlAnswer &answer) {
                                       session->respond(
                                               Dialect::encodeControlAnswer(request, answer));
                                   });
                });
        if (!calls)
            return fromNet(calls.error());
        return serveMetrics(io_, settings_.metricsAddress,
                            [this](const auto &done) { done(control_->metrics()); });
    }

    void reload(const SiteSettings &settings) { control_->reload(settings); }

    void stop()
    {
        control_->leave();
        stopTimer_.expires_after(kHandOverPeriod);
        stopTimer_.async_wait([this](const boost::system::error_code &) { io_.stop(); });
    }

private:
    boost::asio::io_context &io_;
    const SiteSettings settings_;
    StructuredLog &log_;
    std::unique_ptr<SiteControl> control_; // set by start()
    boost::asio::steady_timer stopTimer_;
};

// Starts the process, runs it until it is told to stop, and ends it.
template<typename Process>
int runProcess(const SiteSettings &settings, StructuredLog &log)
{
    boost::asio::io_context io(1);
    const auto process = std::make_shared<Process>(io, settings, log);
    const Result<void> started = process->start();
    if (!started) {
        LogLine(log, LogKind::Process)
                .add("event", "start_failed")
                .add("cause", started.error().detail);
        return started.error().code == AppError::StorageFailed ? kExitStorage : kExitFailure;
    }
    LogLine(log, LogKind::Process).add("event", "start").add("role", core::nameOf(settings.role));
    ProcessSignals signals(
            io, log, [process](const SiteSettings &changed) { process->reload(changed); },
            [process] { process->stop(); });
    io.run();
    LogLine(log, LogKind::Process).add("event", "stop");
    // Other threads may still run; nothing that they hold needs an orderly end.
    std::_Exit(kExitOk);
}

template<SiteDialect Dialect>
int runSite(const SiteSettings &settings)
{
    StructuredLog log(settings.name);
    if (settings.role == Role::Entry)
        return runProcess<EntryProcess<Dialect>>(settings, log);
    return runProcess<ControlProcess<Dialect>>(settings, log);
}

} // namespace fireflyroute::app

#endif
