// Decides on an entry whether it may send one more request to a cold endpoint now. The leader
// grants each entry parts of the endpoint's allowance (core/cold/cold_grants.h); each part permits
// one request per kColdPartInterval, and none before the first interval has passed.
//
//   ColdAllowance allowance(kColdGrantLifetime);
//   allowance.applyGrants(grants, probeSentAt, now);
//   if (allowance.allows(endpoint, now)) ...        // considers a request
//   if (allowance.take(endpoint, now)) ...          // sends it
//
// A part may move to another entry when its grant expires. As the new holder waits for one interval
// before its first request, two holders of a part never both use it within a second.

#ifndef FIREFLYROUTE_CORE_COLD_COLD_ALLOWANCE_H
#define FIREFLYROUTE_CORE_COLD_COLD_ALLOWANCE_H

#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/site/site_messages.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

// Longer than a second, so that requests with different delays on the way arrive a second apart.
constexpr std::chrono::milliseconds kColdPartInterval{1100};

class ColdAllowance
{
public:
    explicit ColdAllowance(Duration grantLifetime)
        : grantLifetime_(grantLifetime)
    {}

    // Applies the answer to a probe of this process that was sent at `probeSentAt`. Answers to
    // earlier probes than the last applied one are ignored.
    void applyGrants(const ColdGrants &grants, Instant probeSentAt, Instant now);

    [[nodiscard]] bool allows(const EndpointId &endpoint, Instant now) const;

    // Takes one request from the allowance. False if none is left.
    [[nodiscard]] bool take(const EndpointId &endpoint, Instant now);

    // Number of parts held now, of all endpoints.
    [[nodiscard]] std::size_t partsHeld(Instant now) const;

private:
    struct Held
    {
        Instant until;
        std::vector<Instant> usableFrom; // of each part; never empty
    };

    Duration grantLifetime_;
    std::uint64_t lastNonce_ = 0; // of the applied grants; never decreases
    std::unordered_map<EndpointId, Held> held_;
};

} // namespace fireflyroute::core

#endif
