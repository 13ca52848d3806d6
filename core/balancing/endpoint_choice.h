// Selects the endpoint for an admitted request.
//
//   EndpointChooser<> chooser(defaults.endpointConcurrency);
//   EndpointChoiceRequest request{.target = version, .rank = rank, .excluded = suspectsAndTried};
//   auto usable = [&](const EndpointState &state) {
//       return !condemned(state.lastAnnouncement.id);
//   };
//   Result<ChosenEndpoint> chosen =
//           chooser.choose(index, request, loadEstimator, prefixCache, usable, rng, now);
//
// A decision compares a few endpoints sampled from each distance class and the probable holders of
// the prompt's prefix, so its cost does not depend on the size of the fleet. The caller records the
// result with LoadEstimator::recordStart() and PrefixCache::observe().

#ifndef FIREFLYROUTE_CORE_BALANCING_ENDPOINT_CHOICE_H
#define FIREFLYROUTE_CORE_BALANCING_ENDPOINT_CHOICE_H

#include "core/balancing/endpoint_choice_index.h"
#include "core/balancing/endpoint_choice_policy.h"
#include "core/balancing/outstanding.h"
#include "core/common/errors.h"
#include "core/sessions/prefix_cache.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <random>
#include <vector>

namespace fireflyroute::core {

struct EndpointChoiceRequest
{
    EndpointTarget target;
    Rank rank = Rank::Normal;
    std::uint32_t promptTokens = 0;
    std::uint64_t transferBytes = 0; // size of prompt and expected answer
    std::vector<std::uint64_t> prefixes; // prefixHashes() of the prompt
    // Endpoints that were tried already, and endpoints that the request may have crashed.
    std::vector<EndpointId> excluded;
};

struct ChosenEndpoint
{
    EndpointId id;
    Incarnation incarnation{0};
    std::string address;
    EndpointFeatures features; // inputs of the score
};

template<ScoringPolicy Policy = WeightedPolicy>
class EndpointChooser
{
public:
    // `defaultConcurrency` applies to endpoints that do not report their concurrency.
    explicit EndpointChooser(std::uint32_t defaultConcurrency)
        : defaultConcurrency_(defaultConcurrency)
    {}

    // Returns NoEndpoint if no endpoint serves the target or every one that does is excluded or not
    // usable. Returns Overloaded if at least one of them is only full.
    template<std::predicate<const EndpointState &> Usable, std::uniform_random_bit_generator Rng>
    Result<ChosenEndpoint> choose(const EndpointIndex &index, const EndpointChoiceRequest &request,
                                  const LoadEstimator &loadEstimator,
                                  const PrefixCache &prefixCache, Usable usable, Rng &rng,
                                  Instant now)
    {
        const EndpointGroup *group = index.find(request.target);
        if (!group || group->all.empty())
            return CoreFailure{CoreError::NoEndpoint, "no endpoint serves the target"};
        SearchState search{index, request, loadEstimator};
        const auto consider = [&](std::uint32_t position, double hitFraction) {
            return usable(index.state(position)) && compare(position, hitFraction, &search);
        };
        for (const PrefixHolder &holder : prefixCache.holders(request.prefixes, now)) {
            if (const auto position = index.position(holder.endpoint, request.target))
                consider(*position, holder.hitFraction);
        }
        if constexpr (Policy::kByDistance) {
            for (const std::vector<std::uint32_t> &positions : group->byDistance)
                sample(positions, consider, rng);
        } else {
            sample(group->all, consider, rng);
        }
        if (!search.best) // sampling found none: nearly all are full or excluded
            scan(group->all, 1, consider, rng);
        if (search.best)
            return makeChoice(index.state(*search.best), search);
        if (search.foundFull)
            return CoreFailure{CoreError::Overloaded, "all endpoints of the target are full"};
        return CoreFailure{CoreError::NoEndpoint, "all endpoints of the target are excluded"};
    }

private:
    // An endpoint is full when its running and queued requests reach this multiple of its
    // concurrency.
    static constexpr std::uint32_t kFullLoadFactor = 2;
    // Random probes per required sample, since some endpoints are full or excluded.
    static constexpr std::size_t kProbesPerSample = 4;
    // Maximum number of endpoints examined in one pass over a list.
    static constexpr std::size_t kMaxProbes = 512;

    // State of one decision.
    struct SearchState
    {
        const EndpointIndex &index;
        const EndpointChoiceRequest &request;
        const LoadEstimator &loadEstimator;
        std::optional<std::uint32_t> best; // position of the endpoint with the lowest score so far
        double bestScore = 0;
        EndpointFeatures bestFeatures;
        bool foundFull = false;
    };

    // Scores an endpoint and keeps it if it is the best so far. Returns false if it may not be
    // used.
    bool compare(std::uint32_t position, double hitFraction, SearchState *search)
    {
        const EndpointState &state = search->index.state(position);
        const std::vector<EndpointId> &excluded = search->request.excluded;
        if (std::find(excluded.begin(), excluded.end(), state.lastAnnouncement.id)
            != excluded.end())
            return false;
        const std::uint32_t reported = state.lastAnnouncement.load.concurrency;
        const EndpointFeatures features{
                .load = search->loadEstimator.load(state),
                .entryInFlight = search->loadEstimator.inFlight(state.lastAnnouncement.id),
                .concurrency = reported > 0 ? reported : defaultConcurrency_,
                .prefixHitFraction = hitFraction,
                .distance = search->index.distance(position),
                .promptTokens = search->request.promptTokens,
                .transferBytes = search->request.transferBytes,
        };
        if (features.load >= features.concurrency * kFullLoadFactor) {
            search->foundFull = true;
            return false;
        }
        const double score = policy_.score(features, search->request.rank);
        if (!search->best || score < search->bestScore) {
            search->best = position;
            search->bestScore = score;
            search->bestFeatures = features;
        }
        return true;
    }

    template<typename Consider, typename Rng>
    void sample(const std::vector<std::uint32_t> &positions, Consider consider, Rng &rng)
    {
        const std::size_t sampleCount = policy_.sampleCount(positions.size());
        if (sampleCount >= positions.size()) {
            scan(positions, positions.size(), consider, rng);
            return;
        }
        std::size_t found = 0;
        for (std::size_t probe = 0; probe < sampleCount * kProbesPerSample && found < sampleCount;
             ++probe)
            found += consider(positions[policy_.nextIndex(positions.size(), rng)], 0.0) ? 1 : 0;
    }

    // Scans a list from a random start until `needed` usable endpoints are found.
    template<typename Consider, typename Rng>
    void scan(const std::vector<std::uint32_t> &positions, std::size_t needed, Consider consider,
              Rng &rng)
    {
        if (positions.empty())
            return;
        const std::size_t start = randomIndex(positions.size(), rng);
        const std::size_t count = std::min(positions.size(), kMaxProbes);
        std::size_t found = 0;
        for (std::size_t step = 0; step < count && found < needed; ++step)
            found += consider(positions[(start + step) % positions.size()], 0.0) ? 1 : 0;
    }

    static ChosenEndpoint makeChoice(const EndpointState &state, const SearchState &search)
    {
        return ChosenEndpoint{state.lastAnnouncement.id, state.lastAnnouncement.incarnation,
                              state.lastAnnouncement.address, search.bestFeatures};
    }

    std::uint32_t defaultConcurrency_;
    Policy policy_;
};

} // namespace fireflyroute::core

#endif
