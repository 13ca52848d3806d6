// What the requests on the traffic thread of an entry share: the view of the site, what was seen of
// endpoints, connections, budgets and counts. The control thread reaches it by posting.

#ifndef FIREFLYROUTE_APP_TRAFFIC_PLANE_H
#define FIREFLYROUTE_APP_TRAFFIC_PLANE_H

#include "app/endpoint_pool.h"
#include "app/request_histograms.h"
#include "app/site_settings.h"
#include "app/structured_log.h"
#include "core/endpoint_monitor.h"
#include "core/endpoint_pick.h"
#include "core/fault_sieve.h"
#include "core/model_choice.h"
#include "core/prompt_index.h"
#include "core/retry_budget.h"
#include "core/session_pins.h"
#include "core/site_messages.h"
#include "core/site_view.h"
#include "core/version_gate.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace fireflyroute::app {

struct TrafficCounts
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; // by an endpoint, whole
    std::uint64_t refused = 0;
    std::uint64_t broken = 0; // begun and not finished
    std::uint64_t left = 0; // the caller went away first
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumed = 0; // streams that went on elsewhere
    std::uint64_t escalated = 0; // answers dropped for a larger model's
};

class TrafficPlane
{
public:
    TrafficPlane(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log);

    // Takes over a new view; forgets endpoints that are gone.
    void setView(std::shared_ptr<const core::SiteView> view);

    // Whether the entry may rely on its configuration now.
    [[nodiscard]] bool isCurrent(core::Instant now) const { return now < currentUntil; }

    // Whether a new request would outlast the process.
    [[nodiscard]] bool isStopping(core::Instant now) const
    {
        return refusesFrom && now >= *refusesFrom;
    }

    // Whether the process has started so lately that state and endpoints are still to come. A
    // request that can't be served for that reason waits.
    [[nodiscard]] bool isStarting(core::Instant now) const;

    // Runs `retry` after the next change of the view or of the proof that it is current.
    void awaitChange(std::function<void()> retry);
    void changed();

    // The endpoints that may take this sending of a request.
    [[nodiscard]] std::vector<const core::EndpointRecord *>
    candidates(const core::ServiceName &service, const core::VersionGate &gate,
               const std::set<core::EndpointId> &excluded, core::Instant now) const;

    void noteRequest(const core::ServiceName &service, core::Instant now);
    [[nodiscard]] bool tryRetry(const core::ServiceName &service, core::Instant now);

    // Whether tryRetry() would take one now.
    [[nodiscard]] bool hasRetry(const core::ServiceName &service, core::Instant now);

    // Takes a second answer by a larger model from the budget; part of it stays for failures.
    [[nodiscard]] bool trySecondAnswer(const core::ServiceName &service, core::Instant now);

    // Counts an outcome for roll-outs, and the requests that run.
    void noteOutcome(const core::EndpointRecord &endpoint, const std::string &route, bool good,
                     core::Duration latency);
    // Counts a run that ended without an answer, unless many others did at the same time.
    void noteBroken(const core::EndpointRecord &endpoint, const std::string &route,
                    core::Instant now);
    void noteRunning(const core::EndpointRecord &endpoint, const std::string &route, int change);

    // Usual time to the first part of an answer on a route.
    [[nodiscard]] core::Duration usualLatency(const std::string &route) const;

    // Counts a stream of a model that took so long for each event.
    void notePace(const core::EndpointId &endpoint, const core::ModelName &model,
                  core::Duration perEvent);

    // Usual time between two events of a model; 0 before the first stream.
    [[nodiscard]] core::Duration usualPace(const core::ModelName &model) const;

    // Usual time that a prompt of the route takes of an endpoint; takes in one more. A large
    // request is worth more, so that it is weighed like the others of its route.
    double usualWork(const std::string &route, double workMs);

    // The counts since the last call.
    [[nodiscard]] core::OutcomeReport takeOutcomes(core::Instant now);

    // What this entry saw since the last call and the others may not know, and what they saw.
    [[nodiscard]] core::EntryNews takeNews();
    void heardNews(const core::EntryNews &news);

    void tend(); // once a second: expires connections and sessions

    [[nodiscard]] std::string metrics() const;

    boost::asio::io_context &io;
    const SiteSettings settings;
    StructuredLog &log;
    BootClock clock;
    std::shared_ptr<const core::SiteView> view; // never null
    core::Instant currentUntil; // the entry may rely on its view until then
    std::optional<core::Instant> refusesFrom; // the process stops: no new request from then on
    core::EndpointMonitor monitor;
    core::EndpointPicker picker;
    core::ModelChooser models;
    core::SessionPins pins;
    core::PromptIndex prompts;
    EndpointPool pool;
    TrafficCounts counts;
    std::map<core::Refusal, std::uint64_t> refusals;
    RequestHistograms histograms;

private:
    using OutcomeKey = std::tuple<core::ServiceName, core::VersionName, std::string>;

    // All repeats of a service, and those of them that only want a better answer.
    struct Budgets
    {
        core::RetryBudget all;
        core::RetryBudget secondAnswers;
    };

    Budgets &budgetsOf(const core::ServiceName &service);

    std::map<core::ServiceName, Budgets> budgets_;
    std::map<OutcomeKey, core::OutcomeCount> outcomes_;
    core::FaultSieve faults_;
    const core::Instant startedAt_;
    std::vector<std::function<void()>> waiting_; // bounded by kMaxWaiting
    std::map<std::string, double> usualMs_; // moving average by route
    std::map<std::string, double> workMs_; // moving average by route
    std::map<core::ModelName, double> paceMs_; // moving average of the time between two events
};

} // namespace fireflyroute::app

#endif
