// Separates failures of single endpoints from simultaneous failures of many endpoints. The latter
// have a common cause, such as a lost network or a failed rack, and are no evidence against the
// version that the endpoints run.
//
//   CommonCauseFilter filter;
//   filter.add({endpoint, service, version, route}, now);
//   for (const FailedRun &run : filter.takeIsolated(now))
//       count it against run.version
//
// A run is returned only after the window around its failure has passed.

#ifndef FIREFLYROUTE_CORE_VERSIONS_FAULT_SIEVE_H
#define FIREFLYROUTE_CORE_VERSIONS_FAULT_SIEVE_H

#include "core/common/clock.h"
#include "core/common/types.h"

#include <deque>
#include <string>
#include <vector>

namespace fireflyroute::core {

// A run that ended without an answer.
struct FailedRun
{
    EndpointId endpoint;
    ServiceName service;
    VersionName version;
    std::string route;

    bool operator==(const FailedRun &) const = default;
};

class CommonCauseFilter
{
public:
    // Connection failures with the same cause are detected within this time of each other.
    static constexpr std::chrono::milliseconds kCorrelationWindow{200};

    // Number of different endpoints with failures within the window that indicates a common cause.
    static constexpr std::size_t kMinEndpoints = 3;

    void add(FailedRun run, Instant now);

    // Removes the runs whose window has passed and returns those without a common cause.
    [[nodiscard]] std::vector<FailedRun> takeIsolated(Instant now);

private:
    struct PendingRun
    {
        FailedRun run;
        Instant failedAt;
        bool hasCommonCause = false;
    };

    std::deque<PendingRun> pending_; // oldest first; at most kMaxPending
};

} // namespace fireflyroute::core

#endif
