// Estimates the load of endpoints from the view of one entry: the last report, which is delayed,
// plus the requests that this entry started and minus those that finished after the report was
// made.
//
//   LoadEstimator loadEstimator(std::chrono::milliseconds(200));
//   loadEstimator.recordStart(endpoint, now);
//   double load = loadEstimator.load(state);
//   loadEstimator.recordFinish(endpoint, now);

#ifndef FIREFLYROUTE_CORE_BALANCING_OUTSTANDING_H
#define FIREFLYROUTE_CORE_BALANCING_OUTSTANDING_H

#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/endpoints/endpoint.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace fireflyroute::core {

class LoadEstimator
{
public:
    // `reportLag`: age of the load in an announcement at the time of the announcement.
    explicit LoadEstimator(Duration reportLag)
        : reportLag_(reportLag)
    {}

    void recordStart(const EndpointId &endpoint, Instant now);
    void recordFinish(const EndpointId &endpoint, Instant now);

    // Estimated number of requests running and queued on the endpoint; at least the number that
    // this entry has in flight there.
    [[nodiscard]] std::uint32_t load(const EndpointState &state) const;

    // Number of requests that this entry has in flight on the endpoint.
    [[nodiscard]] std::uint32_t inFlight(const EndpointId &endpoint) const;

private:
    struct Counts
    {
        std::uint32_t inFlight = 0;
        std::deque<Instant> startTimes; // oldest first, within kEventRetention
        std::deque<Instant> finishTimes; // oldest first, within kEventRetention
    };

    static void record(std::deque<Instant> &history, Instant now);

    Duration reportLag_;
    // Endpoints with requests in flight or recent events.
    std::unordered_map<EndpointId, Counts> counts_;
    Instant idleRemovedAt_; // time of the last removal of idle endpoints

    void removeIdle(Instant now);
};

} // namespace fireflyroute::core

#endif
