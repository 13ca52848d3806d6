// Expected cost of endpoints for one attempt.

#include "core/balancing/endpoint_pick.h"

#include "core/common/stable_hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fireflyroute::core {

namespace {

// Minimum cached fraction of the shared tokens. Below it, the cache contents of endpoints do not
// indicate where other requests with the same shared parts were sent.
constexpr double kMinCachedFraction = 0.5;

} // namespace

double EndpointPicker::distanceCostMs(const DataCentreId &other, double bytes) const
{
    if (other == localDataCentre_)
        return 0;
    if (isSameRegion(regions_, localDataCentre_, other))
        return weights_.otherDataCentreMs;
    return weights_.otherRegionMs + weights_.msPerRegionByte * bytes;
}

double EndpointPicker::cost(const EndpointRecord &endpoint, const PickRequest &request,
                            const EndpointMonitor &monitor, Instant now) const
{
    const double slots = std::max<double>(endpoint.slots, 1);
    const double load = monitor.estimatedLoad(endpoint.id, now);
    const double slowness = monitor.latencyRatio(endpoint.id);
    double costMs = distanceCostMs(endpoint.dataCentre, request.bytes);
    if (request.prompt) {
        costMs += weights_.msPerPrefillToken * monitor.pendingPrefillTokens(endpoint.id, now);
        costMs += weights_.msAtFullUtilization * load / slots;
        costMs += weights_.msPerQueuedShare * std::max(0.0, load - slots) / slots;
    } else {
        costMs += request.serviceMs * std::max(0.0, load + 1 - slots) / slots + load / slots;
    }
    const double msPerExtraSlowness = request.prompt ? weights_.msPerSlowdown : request.serviceMs;
    costMs += msPerExtraSlowness * std::max(0.0, slowness - 1);
    if (endpoint.warmupMs > 0)
        costMs += weights_.warmupMs;
    return costMs;
}

// Rendezvous hashing: the candidate, preferably in this region, that every entry of the region
// selects for these shared parts, so that requests with the same parts reach the same endpoint
// before any cache contents are known. Null without shared parts.
const EndpointRecord *
EndpointPicker::rendezvousChoice(const PromptMatch *match,
                                 const std::vector<const EndpointRecord *> &candidates) const
{
    if (!match || match->prefixes.empty())
        return nullptr;
    const EndpointRecord *preferred = nullptr;
    std::pair<bool, std::uint64_t> highestRank;
    for (const EndpointRecord *candidate : candidates) {
        const std::uint64_t score =
                mixBits(match->prefixes.back() ^ hashText(candidate->id.value()));
        const std::pair<bool, std::uint64_t> rank(
                isSameRegion(regions_, localDataCentre_, candidate->dataCentre), score);
        if (!preferred || rank > highestRank) {
            preferred = candidate;
            highestRank = rank;
        }
    }
    return preferred;
}

// Draws candidates of this region and of the others, and adds those with a part of the prompt.
std::vector<const EndpointRecord *>
EndpointPicker::drawCandidates(const std::vector<const EndpointRecord *> &candidates,
                               const PickRequest &request) const
{
    std::vector<const EndpointRecord *> near;
    std::vector<const EndpointRecord *> far;
    std::vector<const EndpointRecord *> drawn;
    for (const EndpointRecord *candidate : candidates) {
        const bool hasPromptPart = request.match && request.match->cachedTokens(candidate->id) > 0;
        if (hasPromptPart)
            drawn.push_back(candidate);
        else if (isSameRegion(regions_, localDataCentre_, candidate->dataCentre))
            near.push_back(candidate);
        else
            far.push_back(candidate);
    }
    std::uint64_t random = request.draw;
    for (std::vector<const EndpointRecord *> *group : {&near, &far}) {
        const std::size_t count = std::min(weights_.drawnCandidates, group->size());
        for (std::size_t i = 0; i < count; ++i) {
            random = mixBits(random + i + 1);
            std::swap((*group)[i], (*group)[i + random % (group->size() - i)]);
            drawn.push_back((*group)[i]);
        }
    }
    return drawn;
}

PickResult EndpointPicker::pick(const std::vector<const EndpointRecord *> &candidates,
                                const PickRequest &request, const EndpointMonitor &monitor,
                                Instant now) const
{
    const PromptMatch *match = request.match;
    const double sharedTokens = match ? match->sharedTokens() : 0;
    const bool isCached = match && match->maxCachedTokens() > kMinCachedFraction * sharedTokens;
    const EndpointRecord *preferred = isCached ? nullptr : rendezvousChoice(match, candidates);
    // Shared tokens that count as repeated if the chosen endpoint does not have them. If the cache
    // contents of endpoints are used, these are only the tokens that some endpoint has cached.
    const double repeatableTokens = isCached ? match->maxCachedTokens() : sharedTokens;
    double promptTokens = 0;
    if (request.prompt) {
        for (const PromptPart &part : *request.prompt)
            promptTokens += part.tokens;
    }
    PickResult best;
    double lowestScore = std::numeric_limits<double>::max();
    std::vector<const EndpointRecord *> compared =
            request.prompt ? drawCandidates(candidates, request) : candidates;
    if (request.prompt && preferred)
        compared.push_back(preferred);
    for (const EndpointRecord *candidate : compared) {
        const double cachedTokens = match ? match->cachedTokens(candidate->id) : 0;
        const bool isPreferred = preferred != nullptr && candidate == preferred;
        const double expectedCachedTokens = isPreferred ? sharedTokens : cachedTokens;
        const double prefillTokens = (promptTokens - cachedTokens) * request.modelTimeRatio;
        const double prefillMs = weights_.msPerPrefillToken * prefillTokens;
        const double endpointCost = cost(*candidate, request, monitor, now);
        const double interferenceMs =
                weights_.interferenceFactor * prefillMs * monitor.estimatedLoad(candidate->id, now);
        const double expectedPrefillMs = weights_.msPerPrefillToken
                                         * (promptTokens - expectedCachedTokens)
                                         * request.modelTimeRatio;
        const double repeatedCost = weights_.msPerRepeatedToken
                                    * std::max(0.0, repeatableTokens - expectedCachedTokens);
        const double score = endpointCost + expectedPrefillMs + interferenceMs + repeatedCost;
        if (score < lowestScore) {
            lowestScore = score;
            best = PickResult{candidate, endpointCost + prefillMs,
                              static_cast<std::uint32_t>(prefillTokens), prefillMs, 0};
        }
    }
    if (best.endpoint)
        best.queuedPrefillMs =
                weights_.msPerPrefillToken * monitor.pendingPrefillTokens(best.endpoint->id, now);
    return best;
}

} // namespace fireflyroute::core
