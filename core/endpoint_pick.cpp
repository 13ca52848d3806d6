// Costs of endpoints.

#include "core/endpoint_pick.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fireflyroute::core {

namespace {

constexpr std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

std::uint64_t textHash(const std::string &text)
{
    std::uint64_t hash = 0;
    for (const char c : text)
        hash = mix(hash ^ static_cast<unsigned char>(c));
    return hash;
}

// Below this part of the shared tokens, what an endpoint holds tells nothing of where other
// requests with them went.
constexpr double kKnownPart = 0.5;

} // namespace

double EndpointPicker::distance(const DataCentreId &other, double bytes) const
{
    if (other == own_)
        return 0;
    if (isSameRegion(regions_, own_, other))
        return weights_.otherDataCentre;
    return weights_.otherRegion + weights_.perRegionByte * bytes;
}

double EndpointPicker::cost(const EndpointRecord &endpoint, const PickAsk &ask,
                            const EndpointMonitor &monitor, Instant now) const
{
    const double slots = std::max<double>(endpoint.slots, 1);
    const double busy = monitor.busy(endpoint.id, now);
    const double slowness = monitor.slowness(endpoint.id);
    double result = distance(endpoint.dataCentre, ask.bytes);
    if (ask.prompt) {
        result += weights_.perUnreadToken * monitor.unreadTokens(endpoint.id, now);
        result += weights_.perBusyShare * busy / slots;
        result += weights_.perWaiting * std::max(0.0, busy - slots) / slots;
    } else {
        result += ask.workMs * std::max(0.0, busy + 1 - slots) / slots + busy / slots;
    }
    const double slowed = ask.prompt ? weights_.perSlowness : ask.workMs;
    result += slowed * std::max(0.0, slowness - 1);
    if (endpoint.warmupMs > 0)
        result += weights_.warmup;
    return result;
}

// The candidate in this region that all its entries agree on for these shared parts, so that
// requests meet there before anything is known of them; null without shared parts.
const EndpointRecord *
EndpointPicker::firstChoice(const PromptMatch *match,
                            const std::vector<const EndpointRecord *> &candidates) const
{
    if (!match || match->prefixes.empty())
        return nullptr;
    const EndpointRecord *first = nullptr;
    std::pair<bool, std::uint64_t> highest;
    for (const EndpointRecord *candidate : candidates) {
        const std::uint64_t score = mix(match->prefixes.back() ^ textHash(candidate->id.value()));
        const std::pair<bool, std::uint64_t> rank(
                isSameRegion(regions_, own_, candidate->dataCentre), score);
        if (!first || rank > highest) {
            first = candidate;
            highest = rank;
        }
    }
    return first;
}

Pick EndpointPicker::pick(const std::vector<const EndpointRecord *> &candidates, const PickAsk &ask,
                          const EndpointMonitor &monitor, Instant now) const
{
    const PromptMatch *match = ask.match;
    const double shared = match ? match->shared() : 0;
    const bool isKnown = match && match->heldAnywhere() > kKnownPart * shared;
    const EndpointRecord *first = isKnown ? nullptr : firstChoice(match, candidates);
    // Nothing of what nobody has read yet is read again.
    const double billable = isKnown ? match->heldAnywhere() : shared;
    double prompt = 0;
    if (ask.prompt) {
        for (const PromptPart &part : *ask.prompt)
            prompt += part.tokens;
    }
    Pick best;
    double least = std::numeric_limits<double>::max();
    for (const EndpointRecord *candidate : candidates) {
        const double held = match ? match->heldBy(candidate->id) : 0;
        const bool isFirst = first != nullptr && candidate == first;
        const double likelyHeld = isFirst ? shared : held;
        const double unread = (prompt - held) * ask.modelWeight;
        const double work = weights_.perUnreadToken * unread;
        const double ahead = cost(*candidate, ask, monitor, now);
        const double delayed = weights_.perDelayed * work * monitor.busy(candidate->id, now);
        const double likelyWork = weights_.perUnreadToken * (prompt - likelyHeld) * ask.modelWeight;
        const double billed = weights_.perRereadToken * std::max(0.0, billable - likelyHeld);
        const double score = ahead + likelyWork + delayed + billed;
        if (score < least) {
            least = score;
            best = Pick{candidate, ahead + work, static_cast<std::uint32_t>(unread), work, 0};
        }
    }
    if (best.endpoint)
        best.backlogMs = weights_.perUnreadToken * monitor.unreadTokens(best.endpoint->id, now);
    return best;
}

} // namespace fireflyroute::core
