// Policies of endpoint selection: which endpoints are examined and how they are scored.
//
//   EndpointChooser<WeightedPolicy> chooser(defaultConcurrency);         // used in production
//   EndpointChooser<RandomPolicy> random(defaultConcurrency);            // baselines
//   EndpointChooser<RoundRobinPolicy> roundRobin(defaultConcurrency);
//   EndpointChooser<LeastLoadedPolicy> leastLoaded(defaultConcurrency);

#ifndef FIREFLYROUTE_CORE_BALANCING_ENDPOINT_CHOICE_POLICY_H
#define FIREFLYROUTE_CORE_BALANCING_ENDPOINT_CHOICE_POLICY_H

#include "core/balancing/endpoint_choice_index.h"
#include "core/common/types.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <random>

namespace fireflyroute::core {

// Inputs of the score of one endpoint for one request.
struct EndpointFeatures
{
    std::uint32_t load = 0; // estimated number of requests running and queued
    std::uint32_t entryInFlight = 0; // part of the load that this entry sent
    std::uint32_t concurrency = 1; // requests that the endpoint serves at the same time
    double prefixHitFraction = 0; // expected fraction of the prompt in the endpoint's prefix cache
    Distance distance = Distance::SameDataCentre;
    std::uint32_t promptTokens = 0;
    std::uint64_t transferBytes = 0; // size of prompt and expected answer
};

// Selects among the endpoints of a group. nextIndex() returns the index to examine next in a list
// of `count` endpoints. score() rates an endpoint; the lowest score is selected. sampleCount() is
// the number of usable endpoints of a list to compare; if it covers the whole list, nextIndex() is
// not called. With kByDistance each distance class has its own list, otherwise there is one list.
template<typename T>
concept ScoringPolicy = std::default_initializable<T> && requires(T policy, std::mt19937_64 &rng,
                                                                  const EndpointFeatures &features,
                                                                  std::size_t count, Rank rank)
{
    {
        policy.nextIndex(count, rng)
        } -> std::same_as<std::size_t>;
    {
        policy.score(features, rank)
        } -> std::same_as<double>;
    {
        policy.sampleCount(count)
        } -> std::same_as<std::size_t>;
    {
        T::kByDistance
        } -> std::convertible_to<bool>;
};

// Uniformly distributed index, used by the sampling policies.
template<std::uniform_random_bit_generator Rng>
std::size_t randomIndex(std::size_t count, Rng &rng)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(rng);
}

// Score: expected seconds until the answer starts, plus a price in seconds for billed traffic. Less
// urgent ranks accept more waiting in exchange for less billed traffic and cached prefixes.
//
// Load reports are delayed, so entries that all select the least loaded endpoint would overload it
// together. Each entry therefore also spreads its own requests evenly, which needs no report. It
// examines all endpoints of a small list. From a large list it samples two, since it rarely selects
// the same endpoint repeatedly there.
class WeightedPolicy
{
public:
    static constexpr bool kByDistance = true;

    [[nodiscard]] static std::size_t sampleCount(std::size_t count)
    {
        return count <= kSmallListSize ? count : 2;
    }

    template<std::uniform_random_bit_generator Rng>
    std::size_t nextIndex(std::size_t count, Rng &rng)
    {
        return randomIndex(count, rng);
    }

    [[nodiscard]] double score(const EndpointFeatures &features, Rank rank) const;

private:
    static constexpr std::size_t kSmallListSize = 12; // endpoints
};

// Baseline: selects a random usable endpoint.
class RandomPolicy
{
public:
    static constexpr bool kByDistance = false;

    [[nodiscard]] static std::size_t sampleCount(std::size_t) { return 1; }

    template<std::uniform_random_bit_generator Rng>
    std::size_t nextIndex(std::size_t count, Rng &rng)
    {
        return randomIndex(count, rng);
    }

    [[nodiscard]] double score(const EndpointFeatures &, Rank) const { return 0; }
};

// Baseline: selects all endpoints in turn.
class RoundRobinPolicy
{
public:
    static constexpr bool kByDistance = false;

    [[nodiscard]] static std::size_t sampleCount(std::size_t) { return 1; }

    template<std::uniform_random_bit_generator Rng>
    std::size_t nextIndex(std::size_t count, Rng &)
    {
        return next_++ % count;
    }

    [[nodiscard]] double score(const EndpointFeatures &, Rank) const { return 0; }

private:
    std::size_t next_ = 0;
};

// Baseline: selects the lowest relative load of all examined endpoints, regardless of distance.
class LeastLoadedPolicy
{
public:
    static constexpr bool kByDistance = false;

    [[nodiscard]] static std::size_t sampleCount(std::size_t count) { return count; }

    template<std::uniform_random_bit_generator Rng>
    std::size_t nextIndex(std::size_t count, Rng &rng)
    {
        return randomIndex(count, rng);
    }

    [[nodiscard]] double score(const EndpointFeatures &features, Rank) const
    {
        return static_cast<double>(features.load) / features.concurrency;
    }
};

static_assert(ScoringPolicy<WeightedPolicy>);
static_assert(ScoringPolicy<RandomPolicy>);
static_assert(ScoringPolicy<RoundRobinPolicy>);
static_assert(ScoringPolicy<LeastLoadedPolicy>);

} // namespace fireflyroute::core

#endif
