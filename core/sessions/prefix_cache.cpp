// Estimation of cached prompt prefixes.

#include "core/sessions/prefix_cache.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cmath>

namespace fireflyroute::core {

namespace {

// Bytes of prompt text per block; about a hundred tokens.
constexpr std::size_t kBlockBytes = 512;

// Maximum number of hashed blocks. Longer prompts are distinguished by their first blocks only.
constexpr std::size_t kMaxBlocks = 64;

// Time after which half of the observed prefixes are assumed to be evicted from the cache.
constexpr std::chrono::duration<double> kHalfLife = std::chrono::seconds(60);

// Maximum number of recorded invalidations. All are dropped when it is reached; by then, the
// observations that most of them invalidate have decayed.
constexpr std::size_t kMaxInvalidations = 10'000;

double survivalProbability(Duration age)
{
    const std::chrono::duration<double> seconds = std::max(age, Duration{0});
    return std::exp2(-seconds / kHalfLife);
}

} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::size_t seed = 0;
    while (prompt.size() >= kBlockBytes && hashes.size() < kMaxBlocks) {
        boost::hash_range(seed, prompt.begin(), prompt.begin() + kBlockBytes);
        hashes.push_back(seed);
        prompt.remove_prefix(kBlockBytes);
    }
    return hashes;
}

bool PrefixCache::observe(const EndpointId &endpoint, std::span<const std::uint64_t> prefixes,
                          Instant at)
{
    bool isUpdate = false;
    for (const std::uint64_t prefix : prefixes) {
        Record &record = touch(prefix);
        auto slot = std::find_if(
                record.observations.begin(), record.observations.end(),
                [&](const Observation &observation) { return observation.endpoint == endpoint; });
        if (slot == record.observations.end()) {
            slot = std::min_element(
                    record.observations.begin(), record.observations.end(),
                    [](const Observation &a, const Observation &b) { return a.at < b.at; });
        }
        isUpdate = isUpdate || slot->endpoint != endpoint || at - slot->at > kRefreshInterval;
        if (slot->endpoint != endpoint || slot->at < at)
            *slot = Observation{endpoint, at};
    }
    return isUpdate;
}

void PrefixCache::invalidate(const EndpointId &endpoint, Instant at)
{
    if (invalidatedAt_.size() >= kMaxInvalidations)
        invalidatedAt_.clear();
    invalidatedAt_[endpoint] = at;
}

std::vector<PrefixHolder> PrefixCache::holders(std::span<const std::uint64_t> prefixes,
                                               Instant now) const
{
    std::vector<PrefixHolder> found;
    const auto isListed = [&](const EndpointId &endpoint) {
        return std::any_of(found.begin(), found.end(),
                           [&](const PrefixHolder &h) { return h.endpoint == endpoint; });
    };
    for (std::size_t blocks = prefixes.size(); blocks > 0 && found.size() < kMaxHolders; --blocks) {
        const auto record = byPrefix_.find(prefixes[blocks - 1]);
        if (record == byPrefix_.end())
            continue;
        const double fraction = static_cast<double>(blocks) / static_cast<double>(prefixes.size());
        for (const Observation &observation : record->second->observations) {
            if (observation.endpoint.empty() || isStale(observation)
                || isListed(observation.endpoint))
                continue;
            const double hitFraction = fraction * survivalProbability(now - observation.at);
            found.push_back(PrefixHolder{observation.endpoint, hitFraction, blocks});
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const PrefixHolder &a, const PrefixHolder &b) {
        return a.hitFraction > b.hitFraction;
    });
    if (found.size() > kMaxHolders)
        found.resize(kMaxHolders);
    return found;
}

PrefixCache::Record &PrefixCache::touch(std::uint64_t prefix)
{
    const auto found = byPrefix_.find(prefix);
    if (found != byPrefix_.end()) {
        records_.splice(records_.begin(), records_, found->second);
        return records_.front();
    }
    if (records_.size() >= capacity_) {
        byPrefix_.erase(records_.back().prefix);
        records_.pop_back();
    }
    records_.push_front(Record{.prefix = prefix});
    byPrefix_.emplace(prefix, records_.begin());
    return records_.front();
}

bool PrefixCache::isStale(const Observation &observation) const
{
    const auto invalidated = invalidatedAt_.find(observation.endpoint);
    return invalidated != invalidatedAt_.end() && observation.at <= invalidated->second;
}

} // namespace fireflyroute::core
