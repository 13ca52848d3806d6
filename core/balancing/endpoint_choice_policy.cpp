// Weighted policy. All cost terms are in seconds.

#include "core/balancing/endpoint_choice_policy.h"

#include <algorithm>

namespace fireflyroute::core {

namespace {

// Typical time for which a request occupies a slot of an endpoint.
constexpr double kTypicalServiceSeconds = 2.0;

// Additional time of an answer in a full batch compared with an empty one.
constexpr double kFullBatchSeconds = 0.2;

// Time to process one uncached prompt token.
constexpr double kPrefillSecondsPerToken = 0.0002;

constexpr double kBytesPerMegabyte = 1e6;

// Round-trip times, indexed by Distance.
constexpr std::array<double, kDistanceCount> kRoundTripSeconds{0.0005, 0.002, 0.024};

struct RankWeights
{
    double queueing; // cost per second of expected wait
    double prefill; // cost per second of prompt processing
    double secondsPerBilledMegabyte;
    double entryRequests; // weight of this entry's own requests relative to others
};

// Indexed by Rank.
constexpr std::array<RankWeights, kRankCount> kRankWeights{
        RankWeights{2.0, 1.0, 0.5, 4.0},
        RankWeights{1.0, 1.0, 5.0, 4.0},
        RankWeights{0.3, 1.0, 20.0, 4.0},
};

double expectedWait(const EndpointFeatures &features, double entryWeight)
{
    const double slots = std::max<std::uint32_t>(features.concurrency, 1);
    const double load = features.load + entryWeight * features.entryInFlight;
    const double utilization = load / slots;
    const double queuedRounds = std::max(0.0, (load + 1 - slots) / slots);
    return queuedRounds * kTypicalServiceSeconds + std::min(utilization, 1.0) * kFullBatchSeconds;
}

} // namespace

double WeightedPolicy::score(const EndpointFeatures &features, Rank rank) const
{
    const RankWeights &weights = kRankWeights[static_cast<std::size_t>(rank)];
    const double prefill =
            features.promptTokens * kPrefillSecondsPerToken * (1 - features.prefixHitFraction);
    const double billedMegabytes =
            features.distance == Distance::OtherRegion
                    ? static_cast<double>(features.transferBytes) / kBytesPerMegabyte
                    : 0.0;
    return weights.queueing * expectedWait(features, weights.entryRequests)
           + weights.prefill * prefill
           + kRoundTripSeconds[static_cast<std::size_t>(features.distance)]
           + weights.secondsPerBilledMegabyte * billedMegabytes;
}

} // namespace fireflyroute::core
