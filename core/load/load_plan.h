// The plan of a load test: the start time and the kind of each request. The plan is a pure function
// of the profile and its seed, so that a run can be repeated. Arrivals are open-loop: a Poisson
// process that is independent of response times.
//
//   BOOST_OUTCOME_TRYV(validate(profile));
//   for (const LoadRequest &request : planLoad(profile))
//       startAt(request.at, profile.kinds[request.kind], request.session);

#ifndef FIREFLYROUTE_CORE_LOAD_LOAD_PLAN_H
#define FIREFLYROUTE_CORE_LOAD_LOAD_PLAN_H

#include "core/common/clock.h"
#include "core/common/errors.h"
#include "core/common/types.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflyroute::core {

// One kind of request in the load.
struct LoadKind
{
    double share = 1; // weight relative to the other kinds
    Rank rank = Rank::Normal;
    ClientAccountId account;
    TaskName task; // empty if the requests have no task
    std::string model = "auto";
    std::uint32_t sessions = 0; // number of sessions that the requests are spread over; 0 for none
    std::uint32_t promptWords = 50;
    std::uint32_t maxTokens = 64;

    bool operator==(const LoadKind &) const = default;
};

struct LoadProfile
{
    std::uint64_t seed = 1;
    double requestsPerSecond = 10;
    std::uint32_t maxRequests = 1000;
    std::chrono::milliseconds duration{10000}; // no request starts later
    std::vector<LoadKind> kinds;

    bool operator==(const LoadProfile &) const = default;
};

// One planned request.
struct LoadRequest
{
    Duration at{0}; // since the start of the run
    std::size_t kind = 0; // index into LoadProfile::kinds
    SessionId session; // empty if the request has no session

    bool operator==(const LoadRequest &) const = default;
};

// Returns InvalidArgument with the first invalid field.
[[nodiscard]] Result<void> validate(const LoadProfile &profile);

// Requests in order of their start times. The profile must be valid.
[[nodiscard]] std::vector<LoadRequest> planLoad(const LoadProfile &profile);

} // namespace fireflyroute::core

#endif
