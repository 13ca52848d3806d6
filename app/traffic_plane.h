// State shared by the requests on the traffic thread of an entry: the site view, observations of
// endpoints, connections, budgets and counters. The control thread accesses it only by posting to
// the traffic thread.

#ifndef FIREFLYROUTE_APP_TRAFFIC_PLANE_H
#define FIREFLYROUTE_APP_TRAFFIC_PLANE_H

#include "app/endpoint_path.h"
#include "app/request_histograms.h"
#include "app/site_settings.h"
#include "app/structured_log.h"
#include "core/admission/request_admission.h"
#include "core/balancing/endpoint_monitor.h"
#include "core/balancing/endpoint_pick.h"
#include "core/calls/site_view.h"
#include "core/cold/cold_allowance.h"
#include "core/cold/cold_endpoints.h"
#include "core/cold/cold_grants.h"
#include "core/places/region_policy.h"
#include "core/quarantine/crash_watch.h"
#include "core/requests/retry_budget.h"
#include "core/sessions/prompt_index.h"
#include "core/sessions/session_pins.h"
#include "core/site/site_messages.h"
#include "core/versions/fault_sieve.h"
#include "core/versions/latency_baseline.h"
#include "core/versions/model_choice.h"
#include "core/versions/version_gate.h"

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
    std::uint64_t answered = 0; // completely, by an endpoint
    std::uint64_t refused = 0;
    std::uint64_t interrupted = 0; // response started but not completed
    std::uint64_t disconnected = 0; // the caller closed the connection first
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumed = 0; // streams continued on another endpoint
    std::uint64_t waits = 0; // pauses of streams that no endpoint could continue
    std::uint64_t pauses = 0; // of endpoints whose callers received too slowly
    std::uint64_t escalated = 0; // answers replaced by one of a larger model
    std::uint64_t regionRefused = 0; // restricted requests that no allowed endpoint could take
    std::uint64_t coldSent = 0; // attempts at cold endpoints
    std::uint64_t coldHeldBack = 0; // times that a cold endpoint was not eligible for an attempt
};

// Timing of a successful answer.
struct AnswerTiming
{
    core::LoadLevel load = core::LoadLevel::Idle; // of the endpoint when the request was sent
    core::Duration firstByte{}; // of a stream its first event, otherwise the complete answer
    std::optional<core::Duration> eventInterval; // if enough events have arrived
};

class TrafficPlane
{
public:
    TrafficPlane(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log);

    // Replaces the view and drops the state of endpoints that were removed.
    void setView(std::shared_ptr<const core::SiteView> view);

    // Whether the view is confirmed as fresh. If not, only requests on public routes are served.
    [[nodiscard]] bool isFresh(core::Instant now) const { return now < freshUntil; }

    // Whether the process started so recently that state and endpoints may still be missing.
    // Requests that can't be served for this reason wait. False if too many of them wait already.
    [[nodiscard]] bool isStarting(core::Instant now) const;

    // Runs `retry` after the next change of the view or of its freshness.
    void onNextChange(std::function<void()> retry);
    void notifyChanged();

    // Returns the endpoints that are eligible for an attempt; those that the monitor considers
    // unusable only if there are no others. Every endpoint that a request is sent to is one of
    // these. Cold ones are not eligible without an allowance.
    [[nodiscard]] std::vector<const core::EndpointRecord *>
    candidates(const core::ServiceName &service, const core::VersionGate &gate,
               const core::RegionPolicy &regions, const std::set<core::EndpointId> &excluded,
               core::Instant now);

    // Takes an attempt from the allowance of the endpoint if it is cold. False if none is left.
    [[nodiscard]] bool takeColdAllowance(const core::EndpointRecord &endpoint, core::Instant now);

    // Records that a restricted request is refused, since no allowed endpoint can take it.
    void recordRegionRefusal(const core::RequestId &request, const std::string &route,
                             const core::ServiceName &service, const core::RegionPolicy &regions);

    // Whether the service has endpoints, all of them in evacuated data centres.
    [[nodiscard]] bool isEvacuated(const core::ServiceName &service) const;

    // The endpoint refused a connection on the direct path.
    void recordConnectionRefusal(const core::EndpointId &endpoint);

    void recordRequest(const core::ServiceName &service, core::Instant now);
    [[nodiscard]] bool tryRetry(const core::ServiceName &service, core::Instant now);

    // Whether tryRetry() would succeed now.
    [[nodiscard]] bool canRetry(const core::ServiceName &service, core::Instant now);

    // Takes an escalation to a larger model from the budget, part of which is reserved for
    // failures.
    [[nodiscard]] bool tryEscalation(const core::ServiceName &service, core::Instant now);

    // Whether an answer that began after `firstByte` is slow, whatever follows.
    [[nodiscard]] bool isSlowStart(const core::AnswerKind &kind, core::LoadLevel load,
                                   core::Duration firstByte) const;
    [[nodiscard]] bool isSlowPace(const core::AnswerKind &kind, core::LoadLevel load,
                                  core::Duration eventInterval) const;
    // Record the outcome of an attempt for roll-outs.
    void recordAnswer(const core::EndpointRecord &endpoint, const core::AnswerKind &kind,
                      const AnswerTiming &timing);
    void recordFailedAnswer(const core::EndpointRecord &endpoint, const std::string &route);
    // Records an attempt that was interrupted without an answer. Ignored if many others were
    // interrupted at the same time, which indicates a common cause.
    void recordInterruption(const core::EndpointRecord &endpoint, const std::string &route,
                            core::Instant now);
    void adjustRunning(const core::EndpointRecord &endpoint, const std::string &route, int change);

    // Typical latency of the first part of an answer on a route.
    [[nodiscard]] core::Duration typicalLatency(const std::string &route) const;

    // Records the event interval that was measured in a stream of a model.
    void recordEventInterval(const core::EndpointId &endpoint, const core::ModelName &model,
                             core::Duration perEvent);

    // Typical interval between two events of a model; 0 before the first stream.
    [[nodiscard]] core::Duration typicalEventInterval(const core::ModelName &model) const;

    // Adds a sample to the typical prefill work of the route's requests and returns the new
    // average. Escalation weighs a request by this average, so that a large request counts like the
    // others of its route.
    double updateTypicalPrefill(const std::string &route, double prefillMs);

    // Returns the outcomes recorded since the last call.
    [[nodiscard]] core::OutcomeReport drainOutcomes(core::Instant now);

    // Returns the observations since the last call that other entries may not have.
    [[nodiscard]] core::EntryUpdate drainUpdates();

    // Applies the observations of other entries.
    void applyUpdates(const core::EntryUpdate &updates);

    // Whether another entry may open a tunnel to the address through this one.
    [[nodiscard]] net::TunnelStatus admitTunnel(const std::string &address) const;
    void recordTunnelConnect(const std::string &address, bool connected);

    void expireIdle(); // called once a second for connections and sessions

    [[nodiscard]] std::string metrics() const;

    boost::asio::io_context &io;
    const SiteSettings settings;
    StructuredLog &log;
    BootClock clock;
    std::shared_ptr<const core::SiteView> view; // never null
    core::Instant freshUntil; // the view is confirmed as fresh until then
    core::StopSequence stop; // of this process
    core::AdmitAll admission; // satisfies core::RequestAdmission
    core::EndpointMonitor monitor;
    core::EndpointPicker picker;
    core::ModelChooser models;
    core::SessionPins pins;
    core::PromptIndex prompts;
    core::CrashWatch crashWatch;
    core::ColdEndpoints coldEndpoints;
    core::ColdAllowance coldAllowance{core::kColdGrantLifetime};
    EndpointPool pool;
    EndpointPath path;
    std::shared_ptr<const net::TunnelGroup> tunnels; // to endpoints for other entries; may be null
    TrafficCounts counts;
    std::size_t bufferedBytes = 0; // of answers that are forwarded when they are complete
    std::map<core::Refusal, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> interruptions; // by cause; their sum is counts.interrupted
    RequestHistograms histograms;

private:
    using OutcomeKey = std::tuple<core::ServiceName, core::VersionName, std::string>;

    // Budget of all retries of a service, and of escalations, which are part of them.
    struct Budgets
    {
        core::RetryBudget all;
        core::RetryBudget escalations;
    };

    // How long endpoints of the service are cold after their start; empty if requests to cold ones
    // are not limited.
    [[nodiscard]] std::optional<core::Duration> coldStartOf(const core::ServiceName &name) const;

    Budgets &budgetsOf(const core::ServiceName &service);

    std::map<core::ServiceName, Budgets> budgets_;
    std::map<std::string, core::EndpointId> endpointsByAddress_; // of the view
    std::map<OutcomeKey, core::OutcomeCount> outcomes_;
    core::CommonCauseFilter interruptionFilter_;
    const core::Instant startedAt_;
    std::vector<std::function<void()>> waitingRequests_; // at most kMaxWaitingRequests
    std::map<std::string, double> typicalLatencyMs_; // moving average per route
    // Decide which answers are slow. Intervals between events vary less than first bytes, which
    // depend on the length of the prompt, and are recorded by model only.
    core::LatencyBaseline firstByteBaseline_{4, std::chrono::milliseconds(150)};
    core::LatencyBaseline intervalBaseline_{2, std::chrono::milliseconds(20)};
    std::map<std::string, double> typicalPrefillMs_; // moving average per route
    std::map<core::ModelName, double> eventIntervalMs_; // moving average per model
};

} // namespace fireflyroute::app

#endif
