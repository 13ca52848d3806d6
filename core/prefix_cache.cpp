// Estimates of cached prompt prefixes.

#include "core/prefix_cache.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cmath>

namespace fireflyroute::core {

namespace {

// Bytes of prompt text in a block, about a hundred tokens.
constexpr std::size_t kBlockBytes = 512;

// Longer prompts are told apart by their first blocks only.
constexpr std::size_t kMaxBlocks = 64;

// Time in which half of the prefixes seen in a cache are assumed to be evicted.
constexpr std::chrono::duration<double> kHalfLife = std::chrono::seconds(60);

// Restarted endpoints that are remembered; by then their old sightings have faded.
constexpr std::size_t kMaxEmptied = 10'000;

double survival(Duration age)
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
    bool isNews = false;
    for (const std::uint64_t prefix : prefixes) {
        Entry &entry = touch(prefix);
        auto place = std::find_if(entry.seen.begin(), entry.seen.end(),
                                  [&](const Seen &seen) { return seen.endpoint == endpoint; });
        if (place == entry.seen.end()) {
            place = std::min_element(entry.seen.begin(), entry.seen.end(),
                                     [](const Seen &a, const Seen &b) { return a.at < b.at; });
        }
        isNews = isNews || place->endpoint != endpoint || at - place->at > kNewsAfter;
        if (place->endpoint != endpoint || place->at < at)
            *place = Seen{endpoint, at};
    }
    return isNews;
}

void PrefixCache::forget(const EndpointId &endpoint, Instant at)
{
    if (emptiedAt_.size() >= kMaxEmptied)
        emptiedAt_.clear();
    emptiedAt_[endpoint] = at;
}

std::vector<PrefixHolder> PrefixCache::holders(std::span<const std::uint64_t> prefixes,
                                               Instant now) const
{
    std::vector<PrefixHolder> found;
    const auto isKnown = [&](const EndpointId &endpoint) {
        return std::any_of(found.begin(), found.end(),
                           [&](const PrefixHolder &h) { return h.endpoint == endpoint; });
    };
    for (std::size_t blocks = prefixes.size(); blocks > 0 && found.size() < kMaxHolders; --blocks) {
        const auto entry = byPrefix_.find(prefixes[blocks - 1]);
        if (entry == byPrefix_.end())
            continue;
        const double fraction = static_cast<double>(blocks) / static_cast<double>(prefixes.size());
        for (const Seen &seen : entry->second->seen) {
            if (seen.endpoint.empty() || isStale(seen) || isKnown(seen.endpoint))
                continue;
            const double hit = fraction * survival(now - seen.at);
            found.push_back(PrefixHolder{seen.endpoint, hit, blocks});
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const PrefixHolder &a, const PrefixHolder &b) { return a.hit > b.hit; });
    if (found.size() > kMaxHolders)
        found.resize(kMaxHolders);
    return found;
}

PrefixCache::Entry &PrefixCache::touch(std::uint64_t prefix)
{
    const auto known = byPrefix_.find(prefix);
    if (known != byPrefix_.end()) {
        entries_.splice(entries_.begin(), entries_, known->second);
        return entries_.front();
    }
    if (entries_.size() >= capacity_) {
        byPrefix_.erase(entries_.back().prefix);
        entries_.pop_back();
    }
    entries_.push_front(Entry{.prefix = prefix});
    byPrefix_.emplace(prefix, entries_.begin());
    return entries_.front();
}

bool PrefixCache::isStale(const Seen &seen) const
{
    const auto emptied = emptiedAt_.find(seen.endpoint);
    return emptied != emptiedAt_.end() && seen.at <= emptied->second;
}

} // namespace fireflyroute::core
