// State shared by the requests of an entry.

#include "app/traffic_plane.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace fireflyroute::app {

namespace {

// Weight of the newest answer in the usual latency of a route.
constexpr double kLatencyMemory = 0.05;

// Events closer together than this tell nothing of an endpoint's speed.
constexpr double kLeastPaceMs = 1;

// A start takes an election, a proof and the first heartbeats when the whole site starts anew.
constexpr std::chrono::milliseconds kStartPeriod{2500};

// Requests that may wait for the start; more are refused.
constexpr std::size_t kMaxWaiting = 400;

// An answer that takes so many times the usual counts as slow, if it is slower than kSlowFloor too.
constexpr double kSlowFactor = 4;
constexpr std::chrono::milliseconds kSlowFloor{150};

// Streams are begun by a stopping process for that much shorter than calls are taken. Those of the
// first three seconds may be cut at its end, later ones not.
constexpr std::chrono::milliseconds kStreamMargin{1700};

// Part of the repeats that may go to larger models; the rest is kept for failures.
constexpr double kSecondAnswerPart = 0.8;

// A silent endpoint that answered so recently is used all the same: only its way to the control VMs
// may be cut.
constexpr std::chrono::seconds kRecentAnswer{3};

core::Incarnation processLife(const BootClock &clock)
{
    return core::Incarnation(
            static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()));
}

// An average in milliseconds; 0 before the first value.
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
    , picker(siteSettings.dataCentre, siteSettings.regions)
    , pins(siteSettings.sessionTtl, siteSettings.canaryShare)
    , pool(ioContext)
    , startedAt_(clock.now())
{}

bool TrafficPlane::isStarting(core::Instant now) const
{
    return now - startedAt_ < kStartPeriod && waiting_.size() < kMaxWaiting;
}

void TrafficPlane::awaitChange(std::function<void()> retry)
{
    waiting_.push_back(std::move(retry));
}

void TrafficPlane::changed()
{
    for (const std::function<void()> &retry : std::exchange(waiting_, {}))
        retry();
}

void TrafficPlane::setView(std::shared_ptr<const core::SiteView> next)
{
    std::set<core::EndpointId> known;
    for (const auto &[service, endpoints] : next->endpoints) {
        for (const core::EndpointRecord &endpoint : endpoints)
            known.insert(endpoint.id);
    }
    for (const auto &[service, endpoints] : view->endpoints) {
        for (const core::EndpointRecord &endpoint : endpoints) {
            const bool isGone = !known.contains(endpoint.id);
            if (isGone) {
                pool.drop(endpoint.id);
                monitor.forget(endpoint.id);
            }
        }
    }
    view = std::move(next);
}

std::vector<const core::EndpointRecord *>
TrafficPlane::candidates(const core::ServiceName &service, const core::VersionGate &gate,
                         const std::set<core::EndpointId> &excluded, core::Instant now) const
{
    std::vector<const core::EndpointRecord *> usable;
    std::vector<const core::EndpointRecord *> doubtful;
    const auto found = view->endpoints.find(service);
    // A stream may outlast a process that stops, so none is begun late; one that has failed
    // elsewhere (`excluded`) goes on.
    const core::Service *known = view->table ? view->table->service(service) : nullptr;
    const bool isStream = known && !known->models.empty();
    const bool isLate = refusesFrom && now >= *refusesFrom - kStreamMargin;
    if (found == view->endpoints.end() || (isStream && isLate && excluded.empty()))
        return usable;
    for (const core::EndpointRecord &endpoint : found->second) {
        const bool isAllowed = endpoint.state == core::EndpointState::Ready
                               && gate.admits(endpoint.version) && !excluded.contains(endpoint.id);
        if (!isAllowed)
            continue;
        const std::optional<core::Instant> lastGood = monitor.lastGood(endpoint.id);
        const bool isSilent = endpoint.silent && !(lastGood && now - *lastGood < kRecentAnswer);
        if (!isSilent && monitor.isUsable(endpoint.id, now))
            usable.push_back(&endpoint);
        else if (!isSilent)
            doubtful.push_back(&endpoint);
    }
    return usable.empty() ? doubtful : usable;
}

TrafficPlane::Budgets &TrafficPlane::budgetsOf(const core::ServiceName &service)
{
    const auto found = budgets_.find(service);
    if (found != budgets_.end())
        return found->second;
    const auto permille = [this](double part) {
        return core::RetryBudget(settings.vm, processLife(clock),
                                 static_cast<std::uint32_t>(settings.retryPermille * part));
    };
    return budgets_.emplace(service, Budgets{permille(1), permille(kSecondAnswerPart)})
            .first->second;
}

void TrafficPlane::noteRequest(const core::ServiceName &service, core::Instant now)
{
    Budgets &budgets = budgetsOf(service);
    budgets.all.firstAttempt(now);
    budgets.secondAnswers.firstAttempt(now);
}

bool TrafficPlane::tryRetry(const core::ServiceName &service, core::Instant now)
{
    return budgetsOf(service).all.tryRetry(now);
}

bool TrafficPlane::hasRetry(const core::ServiceName &service, core::Instant now)
{
    return budgetsOf(service).all.hasRetry(now);
}

bool TrafficPlane::trySecondAnswer(const core::ServiceName &service, core::Instant now)
{
    Budgets &budgets = budgetsOf(service);
    return budgets.secondAnswers.tryRetry(now) && budgets.all.tryRetry(now);
}

void TrafficPlane::noteOutcome(const core::EndpointRecord &endpoint, const std::string &route,
                               bool good, core::Duration latency)
{
    core::OutcomeCount &count = outcomes_[{endpoint.service, endpoint.version, route}];
    if (!good) {
        ++count.bad;
        return;
    }
    const std::chrono::duration<double, std::milli> taken = latency;
    const auto [usual, isNew] = usualMs_.try_emplace(route, taken.count());
    const bool isSlow =
            latency > kSlowFloor && taken.count() > kSlowFactor * usual->second && !isNew;
    if (isSlow)
        ++count.slow;
    else
        ++count.good;
    const auto rollout = view->rollouts.find(endpoint.service);
    const bool isOnTrial = rollout != view->rollouts.end() && !rollout->second.isFinal()
                           && rollout->second.target == endpoint.version;
    if (!isOnTrial)
        usual->second += kLatencyMemory * (taken.count() - usual->second);
}

void TrafficPlane::noteBroken(const core::EndpointRecord &endpoint, const std::string &route,
                              core::Instant now)
{
    faults_.note({endpoint.id, endpoint.service, endpoint.version, route}, now);
}

void TrafficPlane::noteRunning(const core::EndpointRecord &endpoint, const std::string &route,
                               int change)
{
    core::OutcomeCount &count = outcomes_[{endpoint.service, endpoint.version, route}];
    count.outstanding =
            static_cast<std::uint32_t>(std::max(0, static_cast<int>(count.outstanding) + change));
}

core::Duration TrafficPlane::usualLatency(const std::string &route) const
{
    return averageOf(usualMs_, route);
}

void TrafficPlane::notePace(const core::EndpointId &endpoint, const core::ModelName &model,
                            core::Duration perEvent)
{
    const std::chrono::duration<double, std::milli> taken = perEvent;
    const auto [usual, isNew] = paceMs_.try_emplace(model, taken.count());
    monitor.paced(endpoint, taken.count() / std::max(usual->second, kLeastPaceMs));
    usual->second += kLatencyMemory * (taken.count() - usual->second);
}

core::Duration TrafficPlane::usualPace(const core::ModelName &model) const
{
    return averageOf(paceMs_, model);
}

double TrafficPlane::usualWork(const std::string &route, double workMs)
{
    const auto [usual, isNew] = workMs_.try_emplace(route, workMs);
    usual->second += kLatencyMemory * (workMs - usual->second);
    return usual->second;
}

core::OutcomeReport TrafficPlane::takeOutcomes(core::Instant now)
{
    for (const core::BrokenRun &run : faults_.take(now))
        ++outcomes_[{run.service, run.version, run.route}].bad;
    core::OutcomeReport report;
    for (auto it = outcomes_.begin(); it != outcomes_.end();) {
        core::OutcomeCount &count = it->second;
        const bool isEmpty = count.good + count.bad + count.slow + count.outstanding == 0;
        if (isEmpty) {
            it = outcomes_.erase(it);
            continue;
        }
        std::tie(count.service, count.version, count.route) = it->first;
        report.counts.push_back(count);
        count.good = 0;
        count.bad = 0;
        count.slow = 0;
        ++it;
    }
    return report;
}

core::EntryNews TrafficPlane::takeNews()
{
    return {pins.takeNews(), prompts.takeNews(), monitor.takeRefusals()};
}

void TrafficPlane::heardNews(const core::EntryNews &news)
{
    const core::Instant now = clock.now();
    pins.heard(news.sessions, now);
    prompts.heard(news.prompts, now);
    monitor.heardRefusals(news.refusing, now);
}

void TrafficPlane::tend()
{
    pool.expire();
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
    counter("broken_total", counts.broken);
    counter("left_total", counts.left);
    counter("attempts_total", counts.attempts);
    counter("retries_total", counts.retries);
    counter("resumed_total", counts.resumed);
    counter("escalated_total", counts.escalated);
    counter("connections_opened_total", pool.opened());
    counter("connections_reused_total", pool.reused());
    counter("revision", view->revision);
    for (const auto &[refusal, count] : refusals)
        text += fmt::format("fireflyroute_entry_refusals_total{{reason=\"{}\"}} {}\n",
                            core::nameOf(refusal), count);
    for (const auto &[route, ms] : usualMs_)
        text += fmt::format("fireflyroute_entry_usual_latency_ms{{route=\"{}\"}} {:.1f}\n", route,
                            ms);
    text += histograms.exposition();
    return text;
}

} // namespace fireflyroute::app
