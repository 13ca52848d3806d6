// What one entry has seen of the endpoints: requests that it has outstanding there, load that they
// reported, how fast they answer, and failures. It tells which ones may be used and how busy each
// is.
//
//   monitor.sent(id, unreadTokens);
//   monitor.began(id, unreadTokens);               // the first part of an answer came
//   monitor.ended(id);
//   if (monitor.isUsable(id, now)) ...
//
// Other entries' work is taken in as the leader tells it (core/work_exchange.h).
//
// After a failure an endpoint rests; the rest doubles with each failure in a row. When it ends, one
// request at a time tries the endpoint again.

#ifndef FIREFLYROUTE_CORE_ENDPOINT_MONITOR_H
#define FIREFLYROUTE_CORE_ENDPOINT_MONITOR_H

#include "core/clock.h"
#include "core/site_calls.h"
#include "core/site_messages.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

struct MonitorPolicy
{
    Duration initialCooldown = std::chrono::milliseconds(400);
    Duration maxCooldown = std::chrono::seconds(5);
    Duration loadReportLifetime = std::chrono::milliseconds(1500); // a report counts for so long
    Duration remoteWorkLifetime = std::chrono::milliseconds(700); // of what other entries sent
    double maxFailureRatio = 0.5; // share of recent answers that failed, above which it rests
    double smoothingFactor = 0.15; // weight of the newest answer in averages
};

class EndpointMonitor
{
public:
    explicit EndpointMonitor(const MonitorPolicy &policy = {})
        : policy_(policy)
    {}

    // A request was sent, of whose prompt the endpoint has so many tokens to read.
    void recordDispatch(const EndpointId &id, std::uint32_t pendingPrefillTokens);

    // It has read them, or the request ended before that.
    void recordPrefillDone(const EndpointId &id, std::uint32_t pendingPrefillTokens);

    // The request ended there, in whatever way.
    void recordEnd(const EndpointId &id);

    // What this entry has sent, and what all others have.
    [[nodiscard]] WorkReport localWork() const;
    void applyRemoteWork(const WorkReport &report, Instant now);

    // Prompt tokens that it has yet to read, from all entries.
    [[nodiscard]] double pendingPrefillTokens(const EndpointId &id, Instant now) const;

    // The first part of a sound answer came.
    void recordSuccess(const EndpointId &id, Instant now);

    // It took so many times as long as others for the same work.
    void recordRelativeLatency(const EndpointId &id, double sample);

    void recordLoad(const EndpointId &id, const EndpointLoad &load, Instant now);

    // A request failed there. Severe: the endpoint did not even accept it.
    void recordFailure(const EndpointId &id, bool severe, Instant now);

    // It refused a connection, as nothing runs there: the other entries are told.
    void recordConnectionRefusal(const EndpointId &id) { connectionRefusals_.push_back(id); }
    [[nodiscard]] std::vector<EndpointId> takeConnectionRefusals();

    // Other entries were refused.
    void applyConnectionRefusals(const std::vector<EndpointId> &endpoints, Instant now);

    // Another endpoint answered at its address: it has ended, or lives on under another id.
    void recordReplacement(const EndpointId &id, Instant now);

    // It said that it is full.
    void recordSaturation(const EndpointId &id, Instant now);

    void remove(const EndpointId &id) { endpoints_.erase(id); }

    [[nodiscard]] bool isUsable(const EndpointId &id, Instant now) const;

    // Requests that it is believed to work on or keep waiting.
    [[nodiscard]] double estimatedLoad(const EndpointId &id, Instant now) const;

    // How many times as long as others it takes, 1 for the usual.
    [[nodiscard]] double latencyRatio(const EndpointId &id) const;

    [[nodiscard]] std::optional<Instant> lastSuccessAt(const EndpointId &id) const;

private:
    struct EndpointStats
    {
        std::uint32_t outstanding = 0; // of this entry
        std::uint64_t pendingPrefillTokens = 0; // of those requests
        EndpointLoad load; // as last reported
        std::uint32_t outstandingAtLoadReport = 0; // of this entry when the load was reported
        std::optional<Instant> loadReportedAt;
        double latencyRatio = 1;
        double failureRatio = 0; // moving share of answers that failed
        unsigned consecutiveFailures = 0;
        std::optional<Instant> cooldownUntil;
        std::optional<Instant> saturatedUntil;
        std::optional<Instant> lastSuccessAt;
    };

    void startCooldown(EndpointStats &stats, Instant now) const;

    [[nodiscard]] const EndpointWork *findRemoteWork(const EndpointId &id, Instant now) const;

    MonitorPolicy policy_;
    std::unordered_map<EndpointId, EndpointStats> endpoints_;
    std::unordered_map<EndpointId, EndpointWork> remoteWork_; // as last told
    std::optional<Instant> remoteWorkReceivedAt_; // when it was told
    std::vector<EndpointId> connectionRefusals_; // not told yet
};

} // namespace fireflyroute::core

#endif
