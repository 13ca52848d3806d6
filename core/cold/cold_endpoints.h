// Which endpoints are cold: started recently, or reporting that they are cold. Used by entries,
// which limit the requests to cold endpoints, and by the leader, which grants the allowances.
//
//   ColdEndpoints endpoints;
//   endpoints.observe(record, now, wallNow);        // each record of each view
//   endpoints.retain(ids);                          // drops the others
//   endpoints.recordConnectionRefusal(id, now);
//   if (endpoints.isCold(record.id, service.coldStart, now)) ...

#ifndef FIREFLYROUTE_CORE_COLD_COLD_ENDPOINTS_H
#define FIREFLYROUTE_CORE_COLD_COLD_ENDPOINTS_H

#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/endpoints/endpoint_registry.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace fireflyroute::core {

class ColdEndpoints
{
public:
    // Records that were observed before have no effect.
    void observe(const EndpointRecord &record, Instant now, WallTime wallNow);

    // A connection was refused, so no process runs there. The next one is cold, and its report may
    // be late or lost.
    void recordConnectionRefusal(const EndpointId &id, Instant now);

    void retain(const std::set<EndpointId> &ids);

    // Whether the endpoint is cold. One that was never observed is cold.
    [[nodiscard]] bool isCold(const EndpointId &id, Duration coldStart, Instant now) const;

private:
    struct Observed
    {
        std::uint64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        Instant firstSeenAt; // of this incarnation
        std::optional<Duration> ageWhenSeen; // by the wall clocks; empty if not reported
        std::optional<Instant> refusedAt; // last refusal of a connection
        Instant reportedUntil; // end of the cold period according to the last report
    };

    std::unordered_map<EndpointId, Observed> observed_;
};

} // namespace fireflyroute::core

#endif
