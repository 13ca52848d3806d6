// Statistics of one entry about the endpoints: outstanding requests, reported load, latency and
// failures. They decide which endpoints are usable and how loaded each one is.
//
//   monitor.recordDispatch(id, pendingPrefillTokens);
//   monitor.recordPrefillDone(id, pendingPrefillTokens);   // first part of a response received
//   monitor.recordEnd(id);
//   if (monitor.isUsable(id, now)) ...
//
// Requests of other entries are included as reported by the home (core/site/work_exchange.h).
//
// After a failure an endpoint is in cooldown; the cooldown doubles with each consecutive failure.
// After the cooldown the endpoint is probed with one request at a time.

#ifndef FIREFLYROUTE_CORE_BALANCING_ENDPOINT_MONITOR_H
#define FIREFLYROUTE_CORE_BALANCING_ENDPOINT_MONITOR_H

#include "core/calls/site_calls.h"
#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/site/site_messages.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

struct MonitorPolicy
{
    Duration initialCooldown = std::chrono::milliseconds(400);
    Duration maxCooldown = std::chrono::seconds(5);
    // How long a load report is valid.
    Duration loadReportLifetime = std::chrono::milliseconds(1500);
    // How long a report about other entries' requests is valid.
    Duration remoteWorkLifetime = std::chrono::milliseconds(700);
    // A single failure starts a cooldown if the moving average of failed requests is above this.
    double maxFailureRatio = 0.5;
    double smoothingFactor = 0.15; // weight of the newest sample in moving averages
};

class EndpointMonitor
{
public:
    explicit EndpointMonitor(const MonitorPolicy &policy = {})
        : policy_(policy)
    {}

    // A request was dispatched; the endpoint has to process `pendingPrefillTokens` tokens of its
    // prompt.
    void recordDispatch(const EndpointId &id, std::uint32_t pendingPrefillTokens);

    // The endpoint has processed these prompt tokens, or the request ended earlier.
    void recordPrefillDone(const EndpointId &id, std::uint32_t pendingPrefillTokens);

    // The request ended at the endpoint, with any result.
    void recordEnd(const EndpointId &id);

    // Outstanding requests of this entry, and those of all other entries.
    [[nodiscard]] WorkReport localWork() const;
    void applyRemoteWork(const WorkReport &report, Instant now);

    // Prompt tokens that the endpoint has yet to process, for all entries.
    [[nodiscard]] double pendingPrefillTokens(const EndpointId &id, Instant now) const;

    // The first part of a valid response was received.
    void recordSuccess(const EndpointId &id, Instant now);

    // A request took `sample` times the average latency of comparable requests.
    void recordRelativeLatency(const EndpointId &id, double sample);

    void recordLoad(const EndpointId &id, const EndpointLoadReport &load, Instant now);

    // A request failed at the endpoint. `severe`: the endpoint did not even accept it.
    void recordFailure(const EndpointId &id, bool severe, Instant now);

    // The endpoint refused a connection, so no process runs there. The refusal is reported to the
    // other entries.
    void recordConnectionRefusal(const EndpointId &id) { connectionRefusals_.push_back(id); }
    [[nodiscard]] std::vector<EndpointId> takeConnectionRefusals();

    // Applies connection refusals that other entries observed.
    void applyConnectionRefusals(const std::vector<EndpointId> &endpoints, Instant now);

    // Another endpoint answered at its address: it has terminated or has restarted under another
    // id.
    void recordReplacement(const EndpointId &id, Instant now);

    // The endpoint reported that it is full.
    void recordSaturation(const EndpointId &id, Instant now);

    void remove(const EndpointId &id) { endpoints_.erase(id); }

    [[nodiscard]] bool isUsable(const EndpointId &id, Instant now) const;

    // Estimated number of requests that run or wait at the endpoint.
    [[nodiscard]] double estimatedLoad(const EndpointId &id, Instant now) const;

    // Latency relative to other endpoints; 1 is average.
    [[nodiscard]] double latencyRatio(const EndpointId &id) const;

    [[nodiscard]] std::optional<Instant> lastSuccessAt(const EndpointId &id) const;

private:
    struct EndpointStats
    {
        std::uint32_t outstanding = 0; // requests of this entry
        std::uint64_t pendingPrefillTokens = 0; // of the outstanding requests of this entry
        EndpointLoadReport load; // as last reported
        // Requests of this entry when the load was reported.
        std::uint32_t outstandingAtLoadReport = 0;
        std::optional<Instant> loadReportedAt;
        double latencyRatio = 1;
        double failureRatio = 0; // moving average
        unsigned consecutiveFailures = 0;
        std::optional<Instant> cooldownUntil;
        std::optional<Instant> saturatedUntil;
        std::optional<Instant> lastSuccessAt;
    };

    void startCooldown(EndpointStats &stats, Instant now) const;

    [[nodiscard]] const EndpointWork *findRemoteWork(const EndpointId &id, Instant now) const;

    MonitorPolicy policy_;
    std::unordered_map<EndpointId, EndpointStats> endpoints_;
    std::unordered_map<EndpointId, EndpointWork> remoteWork_; // from the last report
    std::optional<Instant> remoteWorkReceivedAt_; // time of the last report
    std::vector<EndpointId> connectionRefusals_; // not yet reported to other entries
};

} // namespace fireflyroute::core

#endif
