// State shared by the requests of an entry.

#include "app/traffic_plane.h"

#include "core/places/evacuation.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>

namespace fireflyroute::app {

namespace {

// Weight of the newest sample in the moving averages.
constexpr double kNewSampleWeight = 0.05;

// Lower bound of the typical event interval: shorter intervals don't show an endpoint's speed.
constexpr double kMinEventIntervalMs = 1;

// Time allowed for the start-up. If all processes of a site start together, an election, a
// freshness confirmation and the first heartbeats have to complete.
constexpr std::chrono::milliseconds kStartupPeriod{2500};

// Maximum number of requests that wait for the start-up. Further ones are refused.
constexpr std::size_t kMaxWaitingRequests = 400;

// Share of the retry budget that escalations to larger models may use. The rest is reserved for
// failures.
constexpr double kEscalationShare = 0.8;

// Time after an answer during which an endpoint with missing heartbeats is still used: probably
// only its connection to the control VMs is interrupted.
constexpr std::chrono::seconds kRecentAnswerWindow{3};

core::Incarnation processIncarnation(const BootClock &clock)
{
    return core::Incarnation(
            static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()));
}

bool hasColdLimits(const core::SiteView &view)
{
    return view.table
           && std::any_of(view.table->config().services.begin(),
                          view.table->config().services.end(),
                          [](const core::Service &service) { return service.coldPerSecond > 0; });
}

// Returns an average in milliseconds as a duration; 0 before the first sample.
template<typename Key>
core::Duration averageOf(const std::map<Key, double> &averages, const Key &key)
{
    const auto found = averages.find(key);
    const double ms = found == averages.end() ? 0 : found->second;
    return std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double, std::milli>(ms));
}

} // namespace

TrafficPlane::TrafficPlane(boost::asio::io_context &ioContext, const SiteSettings &siteSettings,
                           StructuredLog &structuredLog)
    : io(ioContext)
    , settings(siteSettings)
    , log(structuredLog)
    , view(std::make_shared<const core::SiteView>())
    , stop(siteSettings.stopLimits)
    , picker(siteSettings.dataCentre, siteSettings.regions)
    , pins(siteSettings.sessionTtl, siteSettings.canaryShare)
    , pool(ioContext)
    , path(pool, settings, structuredLog)
    , startedAt_(clock.now())
{}

bool TrafficPlane::isStarting(core::Instant now) const
{
    return now - startedAt_ < kStartupPeriod && waitingRequests_.size() < kMaxWaitingRequests;
}

void TrafficPlane::onNextChange(std::function<void()> retry)
{
    waitingRequests_.push_back(std::move(retry));
}

void TrafficPlane::notifyChanged()
{
    for (const std::function<void()> &retry : std::exchange(waitingRequests_, {}))
        retry();
}

void TrafficPlane::setView(std::shared_ptr<const core::SiteView> next)
{
    std::set<core::EndpointId> remaining;
    endpointsByAddress_.clear();
    for (const auto &[service, endpoints] : next->endpoints) {
        for (const core::EndpointRecord &endpoint : endpoints) {
            remaining.insert(endpoint.id);
            endpointsByAddress_.insert_or_assign(endpoint.address, endpoint.id);
        }
    }
    // A view is replaced with each change of an endpoint, so that this costs nothing where no
    // service limits requests to cold endpoints.
    if (hasColdLimits(*next)) {
        const core::Instant now = clock.now();
        const core::WallTime wallNow = clock.wallNow();
        for (const auto &[service, endpoints] : next->endpoints) {
            for (const core::EndpointRecord &endpoint : endpoints)
                coldEndpoints.observe(endpoint, now, wallNow);
        }
        coldEndpoints.retain(remaining);
    }
    path.setEndpointCount(remaining.size());
    for (const auto &[service, endpoints] : view->endpoints) {
        for (const core::EndpointRecord &endpoint : endpoints) {
            const bool isRemoved = !remaining.contains(endpoint.id);
            if (isRemoved) {
                pool.closeIdle(endpoint.id);
                monitor.remove(endpoint.id);
            }
        }
    }
    view = std::move(next);
}

std::vector<const core::EndpointRecord *>
TrafficPlane::candidates(const core::ServiceName &service, const core::VersionGate &gate,
                         const core::RegionPolicy &regions,
                         const std::set<core::EndpointId> &excluded, core::Instant now)
{
    std::vector<const core::EndpointRecord *> usable;
    std::vector<const core::EndpointRecord *> suspected;
    const auto found = view->endpoints.find(service);
    if (found == view->endpoints.end())
        return usable;
    const std::optional<core::Duration> coldStart = coldStartOf(service);
    for (const core::EndpointRecord &endpoint : found->second) {
        const bool isAllowed =
                endpoint.state == core::EndpointRecordState::Ready && gate.admits(endpoint.version)
                && regions.admits(endpoint.dataCentre)
                && core::mayServe(view->evacuations, endpoint) && !excluded.contains(endpoint.id);
        if (!isAllowed)
            continue;
        if (coldStart && coldEndpoints.isCold(endpoint.id, *coldStart, now)
            && !coldAllowance.allows(endpoint.id, now)) {
            ++counts.coldHeldBack;
            continue;
        }
        const std::optional<core::Instant> lastSuccess = monitor.lastSuccessAt(endpoint.id);
        const bool isTimedOut =
                endpoint.unresponsive && !(lastSuccess && now - *lastSuccess < kRecentAnswerWindow);
        if (!isTimedOut && monitor.isUsable(endpoint.id, now))
            usable.push_back(&endpoint);
        else if (!isTimedOut)
            suspected.push_back(&endpoint);
    }
    return usable.empty() ? suspected : usable;
}

void TrafficPlane::recordRegionRefusal(const core::RequestId &request, const std::string &route,
                                       const core::ServiceName &service,
                                       const core::RegionPolicy &regions)
{
    ++counts.regionRefused;
    std::int64_t allowed = 0;
    std::string dataCentres; // of all endpoints of the service
    if (const auto found = view->endpoints.find(service); found != view->endpoints.end()) {
        std::set<std::string> names;
        for (const core::EndpointRecord &endpoint : found->second) {
            names.insert(endpoint.dataCentre.value());
            allowed += regions.admits(endpoint.dataCentre) ? 1 : 0;
        }
        dataCentres = fmt::format("{}", fmt::join(names, ","));
    }
    LogLine(log, LogKind::Region)
            .add("event", "refused")
            .add("id", request.value())
            .add("route", route)
            .add("service", service.value())
            .add("allowed_regions", regions.describe())
            .add("allowed_endpoints", allowed)
            .add("data_centres", dataCentres);
}

bool TrafficPlane::isEvacuated(const core::ServiceName &service) const
{
    const auto found = view->endpoints.find(service);
    return found != view->endpoints.end() && core::isEvacuated(view->evacuations, found->second);
}

std::optional<core::Duration> TrafficPlane::coldStartOf(const core::ServiceName &name) const
{
    const core::Service *service = view->table ? view->table->service(name) : nullptr;
    return service && service->coldPerSecond > 0 ? std::optional(service->coldStart) : std::nullopt;
}

bool TrafficPlane::takeColdAllowance(const core::EndpointRecord &endpoint, core::Instant now)
{
    const std::optional<core::Duration> coldStart = coldStartOf(endpoint.service);
    if (!coldStart || !coldEndpoints.isCold(endpoint.id, *coldStart, now))
        return true;
    if (!coldAllowance.take(endpoint.id, now)) {
        ++counts.coldHeldBack;
        return false;
    }
    ++counts.coldSent;
    return true;
}

void TrafficPlane::recordConnectionRefusal(const core::EndpointId &endpoint)
{
    monitor.recordConnectionRefusal(endpoint);
    coldEndpoints.recordConnectionRefusal(endpoint, clock.now());
}

TrafficPlane::Budgets &TrafficPlane::budgetsOf(const core::ServiceName &service)
{
    const auto found = budgets_.find(service);
    if (found != budgets_.end())
        return found->second;
    const auto budget = [this](double part) {
        return core::RetryBudget(settings.vm, processIncarnation(clock),
                                 static_cast<std::uint32_t>(settings.retryPermille * part));
    };
    return budgets_.emplace(service, Budgets{budget(1), budget(kEscalationShare)}).first->second;
}

void TrafficPlane::recordRequest(const core::ServiceName &service, core::Instant now)
{
    Budgets &budgets = budgetsOf(service);
    budgets.all.recordFirstAttempt(now);
    budgets.escalations.recordFirstAttempt(now);
}

bool TrafficPlane::tryRetry(const core::ServiceName &service, core::Instant now)
{
    return budgetsOf(service).all.tryRetry(now);
}

bool TrafficPlane::canRetry(const core::ServiceName &service, core::Instant now)
{
    return budgetsOf(service).all.canRetry(now);
}

bool TrafficPlane::tryEscalation(const core::ServiceName &service, core::Instant now)
{
    Budgets &budgets = budgetsOf(service);
    return budgets.escalations.tryRetry(now) && budgets.all.tryRetry(now);
}

bool TrafficPlane::isSlowStart(const core::AnswerKind &kind, core::LoadLevel load,
                               core::Duration firstByte) const
{
    return firstByteBaseline_.isSlow(kind, load, firstByte);
}

bool TrafficPlane::isSlowPace(const core::AnswerKind &kind, core::LoadLevel load,
                              core::Duration eventInterval) const
{
    return intervalBaseline_.isSlow({"", kind.model}, load, eventInterval);
}

void TrafficPlane::recordAnswer(const core::EndpointRecord &endpoint, const core::AnswerKind &kind,
                                const AnswerTiming &timing)
{
    const bool isSlow =
            isSlowStart(kind, timing.load, timing.firstByte)
            || (timing.eventInterval && isSlowPace(kind, timing.load, *timing.eventInterval));
    core::OutcomeCount &count = outcomes_[{endpoint.service, endpoint.version, kind.route}];
    ++(isSlow ? count.slow : count.succeeded);
    const std::chrono::duration<double, std::milli> measured = timing.firstByte;
    const auto [typical, isNew] = typicalLatencyMs_.try_emplace(kind.route, measured.count());
    const auto rollout = view->rollouts.find(endpoint.service);
    const bool isCanary = rollout != view->rollouts.end() && !rollout->second.isFinal()
                          && rollout->second.target == endpoint.version;
    if (isCanary)
        return;
    typical->second += kNewSampleWeight * (measured.count() - typical->second);
    firstByteBaseline_.record(kind, timing.load, timing.firstByte);
    if (timing.eventInterval)
        intervalBaseline_.record({"", kind.model}, timing.load, *timing.eventInterval);
}

void TrafficPlane::recordFailedAnswer(const core::EndpointRecord &endpoint,
                                      const std::string &route)
{
    ++outcomes_[{endpoint.service, endpoint.version, route}].failed;
}

void TrafficPlane::recordInterruption(const core::EndpointRecord &endpoint,
                                      const std::string &route, core::Instant now)
{
    interruptionFilter_.add({endpoint.id, endpoint.service, endpoint.version, route}, now);
}

void TrafficPlane::adjustRunning(const core::EndpointRecord &endpoint, const std::string &route,
                                 int change)
{
    core::OutcomeCount &count = outcomes_[{endpoint.service, endpoint.version, route}];
    count.outstanding =
            static_cast<std::uint32_t>(std::max(0, static_cast<int>(count.outstanding) + change));
}

core::Duration TrafficPlane::typicalLatency(const std::string &route) const
{
    return averageOf(typicalLatencyMs_, route);
}

void TrafficPlane::recordEventInterval(const core::EndpointId &endpoint,
                                       const core::ModelName &model, core::Duration perEvent)
{
    const std::chrono::duration<double, std::milli> measured = perEvent;
    const auto [typical, isNew] = eventIntervalMs_.try_emplace(model, measured.count());
    monitor.recordRelativeLatency(
            endpoint, measured.count() / std::max(typical->second, kMinEventIntervalMs));
    typical->second += kNewSampleWeight * (measured.count() - typical->second);
}

core::Duration TrafficPlane::typicalEventInterval(const core::ModelName &model) const
{
    return averageOf(eventIntervalMs_, model);
}

double TrafficPlane::updateTypicalPrefill(const std::string &route, double prefillMs)
{
    const auto [typical, isNew] = typicalPrefillMs_.try_emplace(route, prefillMs);
    typical->second += kNewSampleWeight * (prefillMs - typical->second);
    return typical->second;
}

core::OutcomeReport TrafficPlane::drainOutcomes(core::Instant now)
{
    for (const core::FailedRun &run : interruptionFilter_.takeIsolated(now))
        ++outcomes_[{run.service, run.version, run.route}].failed;
    core::OutcomeReport report;
    for (auto it = outcomes_.begin(); it != outcomes_.end();) {
        core::OutcomeCount &count = it->second;
        const bool isEmpty = count.succeeded + count.failed + count.slow + count.outstanding == 0;
        if (isEmpty) {
            it = outcomes_.erase(it);
            continue;
        }
        std::tie(count.service, count.version, count.route) = it->first;
        report.counts.push_back(count);
        count.succeeded = 0;
        count.failed = 0;
        count.slow = 0;
        ++it;
    }
    return report;
}

core::EntryUpdate TrafficPlane::drainUpdates()
{
    return {pins.takeUpdates(), prompts.takeUpdates(), monitor.takeConnectionRefusals()};
}

void TrafficPlane::applyUpdates(const core::EntryUpdate &updates)
{
    const core::Instant now = clock.now();
    pins.applyUpdates(updates.sessions, now);
    prompts.applyUpdates(updates.prompts, now);
    monitor.applyConnectionRefusals(updates.refusingEndpoints, now);
}

net::TunnelStatus TrafficPlane::admitTunnel(const std::string &address) const
{
    if (stop.isStopping())
        return net::TunnelStatus::Full;
    if (path.state() != core::PathState::Sound)
        return net::TunnelStatus::Isolated;
    return endpointsByAddress_.contains(address) ? net::TunnelStatus::Opened
                                                 : net::TunnelStatus::NotAllowed;
}

void TrafficPlane::recordTunnelConnect(const std::string &address, bool connected)
{
    const auto found = endpointsByAddress_.find(address);
    if (found != endpointsByAddress_.end())
        path.recordConnectAttempt(found->second, connected, clock.now());
}

void TrafficPlane::expireIdle()
{
    pool.closeExpired();
    pins.expire(clock.now());
}

std::string TrafficPlane::metrics() const
{
    std::string text;
    const auto counter = [&](std::string_view name, std::uint64_t value) {
        text += fmt::format("fireflyroute_entry_{} {}\n", name, value);
    };
    counter("requests_total", counts.requests);
    counter("answered_total", counts.answered);
    counter("refused_total", counts.refused);
    counter("broken_total", counts.interrupted);
    counter("left_total", counts.disconnected);
    counter("attempts_total", counts.attempts);
    counter("retries_total", counts.retries);
    counter("resumed_total", counts.resumed);
    counter("waits_total", counts.waits);
    counter("pauses_total", counts.pauses);
    counter("escalated_total", counts.escalated);
    counter("region_refusals_total", counts.regionRefused);
    counter("cold_attempts_total", counts.coldSent);
    counter("cold_held_back_total", counts.coldHeldBack);
    counter("cold_parts", coldAllowance.partsHeld(clock.now()));
    counter("connections_opened_total", pool.opened());
    counter("connections_reused_total", pool.reused());
    counter("revision", view->revision);
    text += path.metrics();
    if (tunnels) {
        counter("tunnels", tunnels->active);
        for (const auto &[status, count] : tunnels->answers)
            text += fmt::format("fireflyroute_entry_tunnel_answers_total{{status=\"{}\"}} {}\n",
                                core::nameOf(status), count);
    }
    for (const auto &[refusal, count] : refusals)
        text += fmt::format("fireflyroute_entry_refusals_total{{reason=\"{}\"}} {}\n",
                            core::nameOf(refusal), count);
    for (const auto &[cause, count] : interruptions)
        text += fmt::format("fireflyroute_entry_interruptions_total{{cause=\"{}\"}} {}\n", cause,
                            count);
    for (const auto &[route, ms] : typicalLatencyMs_)
        text += fmt::format("fireflyroute_entry_usual_latency_ms{{route=\"{}\"}} {:.1f}\n", route,
                            ms);
    text += histograms.exposition();
    return text;
}

} // namespace fireflyroute::app
