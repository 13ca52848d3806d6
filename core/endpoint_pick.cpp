// Costs of endpoints.

#include "core/endpoint_pick.h"

#include <algorithm>
#include <limits>

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

// Tokens of the parts that other requests share, and a hash of the last of them with the model: the
// parts before it are shared by many more and are cached nearly everywhere.
struct SharedPrompt
{
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0;
};

SharedPrompt sharedPrompt(const PickAsk &ask)
{
    SharedPrompt shared;
    if (!ask.prompt || ask.prompt->size() < 2)
        return shared;
    const std::size_t last = ask.prompt->size() - 2;
    shared.hash = mix(textHash(ask.model.value()) ^ (*ask.prompt)[last].id);
    for (std::size_t i = 0; i <= last; ++i)
        shared.tokens += (*ask.prompt)[i].tokens;
    return shared;
}

// The candidate that all entries agree on for these shared parts; null if there are none.
const EndpointRecord *ownerOf(const SharedPrompt &shared,
                              const std::vector<const EndpointRecord *> &candidates)
{
    if (shared.tokens == 0)
        return nullptr;
    const EndpointRecord *owner = nullptr;
    std::uint64_t highest = 0;
    for (const EndpointRecord *candidate : candidates) {
        const std::uint64_t score = mix(shared.hash ^ textHash(candidate->id.value()));
        if (!owner || score > highest) {
            owner = candidate;
            highest = score;
        }
    }
    return owner;
}

} // namespace

double EndpointPicker::distance(const DataCentreId &other, double bytes) const
{
    if (other == own_)
        return 0;
    const auto own = regions_.find(own_);
    const auto there = regions_.find(other);
    const bool isSameRegion =
            own != regions_.end() && there != regions_.end() && own->second == there->second;
    if (isSameRegion)
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

Pick EndpointPicker::pick(const std::vector<const EndpointRecord *> &candidates, const PickAsk &ask,
                          const EndpointMonitor &monitor, Instant now) const
{
    const SharedPrompt shared = sharedPrompt(ask);
    const EndpointRecord *owner = ownerOf(shared, candidates);
    double prompt = 0;
    if (ask.prompt) {
        for (const PromptPart &part : *ask.prompt)
            prompt += part.tokens;
    }
    Pick best;
    double least = std::numeric_limits<double>::max();
    double backlog = 0;
    for (const EndpointRecord *candidate : candidates) {
        const bool isOwner = owner && candidate == owner;
        const double kept = isOwner ? static_cast<double>(shared.tokens) : 0;
        const double unread = (prompt - kept) * ask.modelWeight;
        const double work = weights_.perUnreadToken * unread;
        const double expected = cost(*candidate, ask, monitor, now) + work;
        const double billed = weights_.perRereadToken * (static_cast<double>(shared.tokens) - kept);
        backlog += weights_.perUnreadToken * monitor.unreadTokens(candidate->id, now);
        if (expected + billed < least) {
            least = expected + billed;
            best = Pick{candidate, expected, static_cast<std::uint32_t>(unread), work, 0};
        }
    }
    if (best.endpoint)
        best.backlogMs = backlog / static_cast<double>(candidates.size());
    return best;
}

} // namespace fireflyroute::core
