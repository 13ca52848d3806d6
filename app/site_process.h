// A process of a site: the components of its role, connected to sockets, signals and timers.
//
//   return runSite<platform::Dialect>(settings);

#ifndef FIREFLYROUTE_APP_SITE_PROCESS_H
#define FIREFLYROUTE_APP_SITE_PROCESS_H

#include "app/process_stop.h"
#include "app/proxy_request.h"
#include "app/signals.h"
#include "app/site_control.h"
#include "app/site_entry.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <concepts>
#include <cstdlib>
#include <thread>
#include <utility>

namespace fireflyroute::app {

// Encodes and decodes the calls of operators, endpoints and the load balancer.
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

// The ConfigDecoder of a dialect.
template<ControlDialect Dialect>
std::shared_ptr<const core::SiteConfig> decodeConfigWith(std::string_view document)
{
    const auto config = Dialect::decodeConfig(document);
    return config ? config.value() : nullptr;
}

// Interval of outcome reports while a roll-out is in progress.
constexpr std::chrono::milliseconds kOutcomeReportPeriod{300};

constexpr std::chrono::milliseconds kExpiryPeriod{1000};

// Interval of work reports. Shorter than an endpoint needs to process a long prompt.
constexpr std::chrono::milliseconds kWorkReportPeriod{150};

// Time between the last answer of a stopping control VM and its exit, for its messages to the other
// processes, which carry what it has acknowledged.
constexpr std::chrono::milliseconds kLastMessagePeriod{100};

// Serves /metrics. `render` passes the text to its callback.
[[nodiscard]] Result<void>
serveMetrics(boost::asio::io_context &io, const std::string &address,
             std::function<void(std::function<void(std::string)>)> render);

// What the connections of callers of an entry, or of control calls, may hold together.
[[nodiscard]] net::GroupLimits callerBounds(const SiteSettings &settings);

// Limits of readiness probes and scrapes.
[[nodiscard]] net::GroupLimits probeBounds();
[[nodiscard]] net::SessionLimits probeLimits();

// Logs the connections of the group that are closed for the sake of others.
void logClosings(net::SessionGroup &group, StructuredLog &log);

// Has the allocator return each large block to the system as soon as it is freed. By default it
// keeps the blocks that messages and snapshots with a large configuration take for a moment.
void releaseLargeBlocks();

// An entry. Caller traffic runs on the traffic thread, everything else on the control thread.
template<SiteDialect Dialect>
class EntryProcess
{
public:
    EntryProcess(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log)
        : io_(io)
        , settings_(settings)
        , log_(log)
        , workGuard_(boost::asio::make_work_guard(trafficIo_))
        , plane_(trafficIo_, settings, log)
        , entry_(io, settings, log, decodeConfigWith<Dialect>, outputs())
        , outcomeTimer_(io)
        , expiryTimer_(trafficIo_)
        , workTimer_(trafficIo_)
        , pathTimer_(trafficIo_)
        , stop_(trafficIo_, plane_.stop, log)
    {}

    Result<void> start()
    {
        const auto callers = net::acceptSessions(
                trafficIo_, settings_.callerAddress, net::SessionLimits{},
                [this](const std::shared_ptr<net::ServerSession> &session,
                       net::HttpRequestMessage request) {
                    std::make_shared<ProxyRequest<Dialect>>(plane_, session, std::move(request))
                            ->start();
                },
                callerBounds(settings_));
        if (!callers)
            return fromNet(callers.error());
        callerSessions_ = callers.value();
        logClosings(*callerSessions_, log_);
        BOOST_OUTCOME_TRYV(acceptRelaying());
        const auto readiness = net::acceptSessions(
                io_, settings_.readinessAddress, probeLimits(),
                [this](const std::shared_ptr<net::ServerSession> &session,
                       const net::HttpRequestMessage &request) {
                    session->respond(Dialect::answerReadiness(
                            request, !stopping_ && hasPath_ && entry_.isReady()));
                },
                probeBounds());
        if (!readiness)
            return fromNet(readiness.error());
        BOOST_OUTCOME_TRYV(serveMetrics(io_, settings_.metricsAddress, [this](const auto &done) {
            boost::asio::post(trafficIo_, [this, done] {
                boost::asio::post(io_, [this, done, text = trafficMetrics()] {
                    done(entry_.metrics() + text);
                });
            });
        }));
        entry_.start();
        plane_.path.isolationChanged = [this](bool isolated) {
            boost::asio::post(io_, [this, isolated] { entry_.setIsolated(isolated); });
        };
        expirePeriodically();
        checkPath(true);
        reportOutcomes();
        reportWork();
        trafficThread_ = std::thread([this] { trafficIo_.run(); });
        return core::outcome::success();
    }

    void reload(const SiteSettings &settings) { entry_.reload(settings); }

    // Shuts down gracefully: first leaves the load balancer's rotation, then answers what it has
    // accepted, and exits once no connection of a caller is left or the grace period is over. All
    // times count from the signal, also if it was handled late.
    void stop(core::Instant signalledAt)
    {
        stopping_ = true;
        boost::asio::post(trafficIo_, [this, signalledAt] {
            const auto countTunnels = [this] {
                return plane_.tunnels ? plane_.tunnels->active : 0;
            };
            stop_.begin(signalledAt, callerSessions_, countTunnels,
                        [this] { boost::asio::post(io_, [this] { io_.stop(); }); });
        });
    }

private:
    EntryOutputs outputs()
    {
        EntryOutputs outputs;
        outputs.viewChanged = [this](std::shared_ptr<const core::SiteView> view) {
            boost::asio::post(trafficIo_, [this, view = std::move(view)] { applyView(view); });
        };
        outputs.freshUntilChanged = [this](core::Instant until) {
            boost::asio::post(trafficIo_, [this, until] {
                plane_.freshUntil = until;
                plane_.notifyChanged();
            });
        };
        outputs.peerWorkReported = [this](core::WorkReport report) {
            boost::asio::post(trafficIo_, [this, report = std::move(report)] {
                plane_.monitor.applyRemoteWork(report, clock_.now());
            });
        };
        outputs.peerUpdatesReceived = [this](core::EntryUpdate updates) {
            boost::asio::post(trafficIo_, [this, updates = std::move(updates)] {
                plane_.applyUpdates(updates);
            });
        };
        outputs.quarantineChanged = [this](core::QuarantineState state) {
            boost::asio::post(trafficIo_, [this, state = std::move(state)] {
                plane_.crashWatch.apply(state, clock_.now());
            });
        };
        outputs.relaysChanged = [this](std::vector<core::VmId> relays) {
            boost::asio::post(trafficIo_, [this, relays = std::move(relays)] {
                plane_.path.setRelays(relays);
            });
        };
        outputs.coldGrantsReceived = [this](core::ColdGrants grants, core::Instant probeSentAt) {
            boost::asio::post(trafficIo_, [this, grants = std::move(grants), probeSentAt] {
                plane_.coldAllowance.applyGrants(grants, probeSentAt, clock_.now());
            });
        };
        return outputs;
    }

    // Serves other entries as a relay.
    Result<void> acceptRelaying()
    {
        if (settings_.relayPort == 0)
            return core::outcome::success();
        const auto tunnels = net::acceptTunnels(
                trafficIo_, settings_.relayAddress(settings_.vm),
                [this](const std::string &address) { return plane_.admitTunnel(address); });
        if (!tunnels)
            return fromNet(tunnels.error());
        tunnels.value()->onConnectAttempt = [this](const std::string &address, bool connected) {
            plane_.recordTunnelConnect(address, connected);
        };
        plane_.tunnels = tunnels.value();
        return core::outcome::success();
    }

    [[nodiscard]] std::string trafficMetrics() const
    {
        return plane_.metrics() + stop_.metrics()
               + net::metricsOf(*callerSessions_, "fireflyroute_entry_caller");
    }

    // Periodically checks the path to the endpoints. `hadPath`: result of the last check.
    void checkPath(bool hadPath)
    {
        pathTimer_.expires_after(core::PathMonitor::kCheckInterval);
        pathTimer_.async_wait([this, hadPath](const boost::system::error_code &) {
            const core::Instant now = clock_.now();
            plane_.path.check(now);
            const bool hasPath = plane_.path.isUsable(now);
            if (hasPath != hadPath)
                boost::asio::post(io_, [this, hasPath] { hasPath_ = hasPath; });
            checkPath(hasPath);
        });
    }

    // Periodically reports this entry's dispatched work, session versions, processed prompts,
    // refused connections and crashes to the leader, which shares them or its conclusions with the
    // other entries.
    void reportWork()
    {
        workTimer_.expires_after(kWorkReportPeriod);
        workTimer_.async_wait([this](const boost::system::error_code &) {
            boost::asio::post(io_, [this, report = plane_.monitor.localWork(),
                                    updates = plane_.drainUpdates(),
                                    crashes = plane_.crashWatch.takeReport(clock_.now())] {
                entry_.sendToHome(report);
                if (!updates.isEmpty())
                    entry_.sendToHome(updates);
                if (!crashes.isEmpty())
                    entry_.sendToLeader(crashes);
            });
            reportWork();
        });
    }

    void applyView(const std::shared_ptr<const core::SiteView> &view)
    {
        plane_.setView(view);
        if (!view->table)
            return;
        const core::CallerLimits &limits = view->table->config().limits;
        const auto toMillis = [](core::Duration duration) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
        };
        callerSessions_->limits = {{limits.headerBytes, limits.bodyBytes},
                                   toMillis(limits.headerTimeout),
                                   toMillis(limits.idleTimeout)};
        plane_.notifyChanged();
    }

    void expirePeriodically()
    {
        expiryTimer_.expires_after(kExpiryPeriod);
        expiryTimer_.async_wait([this](const boost::system::error_code &) {
            plane_.expireIdle();
            expirePeriodically();
        });
    }

    void reportOutcomes()
    {
        outcomeTimer_.expires_after(kOutcomeReportPeriod);
        outcomeTimer_.async_wait([this](const boost::system::error_code &) {
            // Outcomes from before a roll-out are dropped: they tell nothing about its time.
            const bool isRunning = entry_.isRolloutRunning();
            const bool wasRunning = std::exchange(wasRolloutRunning_, isRunning);
            if (isRunning) {
                boost::asio::post(trafficIo_, [this, wasRunning] {
                    core::OutcomeReport report = plane_.drainOutcomes(clock_.now());
                    if (!wasRunning)
                        return;
                    boost::asio::post(io_, [this, report = std::move(report)] {
                        entry_.sendToLeader(report);
                    });
                });
            }
            reportOutcomes();
        });
    }

    boost::asio::io_context &io_; // control thread
    const SiteSettings settings_;
    StructuredLog &log_;
    BootClock clock_;
    boost::asio::io_context trafficIo_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_;
    TrafficPlane plane_; // traffic thread only
    std::shared_ptr<net::SessionGroup> callerSessions_; // traffic thread only
    SiteEntry entry_;
    boost::asio::steady_timer outcomeTimer_;
    bool wasRolloutRunning_ = false; // when outcomes were last drained
    boost::asio::steady_timer expiryTimer_; // traffic thread
    boost::asio::steady_timer workTimer_; // traffic thread
    boost::asio::steady_timer pathTimer_; // traffic thread
    ProcessStop stop_; // traffic thread only
    bool hasPath_ = true; // to the endpoints, direct or through a relay
    bool stopping_ = false;
    std::thread trafficThread_;
};

// A control VM. Everything except disk writes runs on the control thread.
template<SiteDialect Dialect>
class ControlProcess
{
public:
    ControlProcess(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log)
        : io_(io)
        , settings_(settings)
        , log_(log)
        , stopSequence_(settings.stopLimits)
        , stop_(io, stopSequence_, log)
        , exitTimer_(io)
    {}

    Result<void> start()
    {
        releaseLargeBlocks();
        BOOST_OUTCOME_TRY(control,
                          SiteControl::open(io_, settings_, log_, decodeConfigWith<Dialect>));
        control_ = std::move(control);
        BOOST_OUTCOME_TRYV(control_->start());
        const auto callSessions = net::acceptSessions(
                io_, settings_.controlAddress, net::SessionLimits{},
                [this](const std::shared_ptr<net::ServerSession> &session,
                       net::HttpRequestMessage message) {
                    // Shared: a body may be as large as all of the limits allow.
                    const auto request =
                            std::make_shared<const net::HttpRequestMessage>(std::move(message));
                    const auto answer = [session, request](const core::ControlAnswer &result) {
                        session->respond(Dialect::encodeControlAnswer(*request, result));
                    };
                    // A change that is still in progress at the end may be committed or not.
                    session->onLastCall([answer] {
                        core::ControlAnswer unclear;
                        unclear.problem = "this VM stops";
                        answer(unclear);
                    });
                    control_->call(Dialect::decodeControlCall(*request), answer);
                },
                callerBounds(settings_));
        if (!callSessions)
            return fromNet(callSessions.error());
        callSessions_ = callSessions.value();
        logClosings(*callSessions_, log_);
        return serveMetrics(io_, settings_.metricsAddress, [this](const auto &done) {
            done(control_->metrics() + stop_.metrics()
                 + net::metricsOf(*callSessions_, "fireflyroute_control_call"));
        });
    }

    void reload(const SiteSettings &settings) { control_->reload(settings); }

    // Shuts down gracefully: hands the leadership over, then answers what it has accepted, and
    // exits once no connection of an operator or endpoint is left or the grace period is over. The
    // times count from now, because a transfer that begins late takes as long: the last answers are
    // due seconds before the process would be killed.
    void stop(core::Instant /*signalledAt*/)
    {
        control_->transferLeadership();
        const auto countTunnels = [] { return std::size_t(0); };
        stop_.begin(clock_.now(), callSessions_, countTunnels, [this] {
            exitTimer_.expires_after(kLastMessagePeriod);
            exitTimer_.async_wait([this](const boost::system::error_code &) { io_.stop(); });
        });
    }

private:
    boost::asio::io_context &io_;
    const SiteSettings settings_;
    StructuredLog &log_;
    std::unique_ptr<SiteControl> control_; // set by start()
    std::shared_ptr<net::SessionGroup> callSessions_; // set by start()
    core::StopSequence stopSequence_;
    ProcessStop stop_;
    BootClock clock_;
    boost::asio::steady_timer exitTimer_;
};

// Starts the process, runs it until it is stopped, and returns the exit status of a failed start.
template<typename Process>
int runProcess(const SiteSettings &settings, StructuredLog &log)
{
    boost::asio::io_context io(1);
    const auto process = std::make_shared<Process>(io, settings, log);
    // Handles signals before anything is accepted: by default they end the process.
    ProcessSignals signals(
            io, log, [process](const SiteSettings &changed) { process->reload(changed); },
            [process](core::Instant signalledAt) { process->stop(signalledAt); });
    const Result<void> started = process->start();
    if (!started) {
        LogLine(log, LogKind::Process)
                .add("event", "start_failed")
                .add("cause", started.error().detail);
        return started.error().code == AppError::StorageFailed ? kExitStorage : kExitFailure;
    }
    LogLine(log, LogKind::Process).add("event", "start").add("role", core::nameOf(settings.role));
    io.run();
    LogLine(log, LogKind::Process).add("event", "stop");
    // Exits without destructors: other threads may still run, and none holds state that needs an
    // orderly shutdown.
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
