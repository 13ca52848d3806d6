// Estimates on which endpoints prompt prefixes are cached. Engines report their cache contents late
// and incompletely and evict prefixes without notice. Older observations therefore have less
// weight.
//
//   PrefixCache cache(kPrefixCapacity);
//   cache.observe(endpoint, announcement.cachedPrefixes, receivedAt);  // reported by the endpoint
//   std::vector<std::uint64_t> prefixes = prefixHashes(prompt);
//   for (const PrefixHolder &holder : cache.holders(prefixes, now))
//       ...                                                            // best expected hit first
//   cache.observe(chosen, prefixes, now);                              // a request was dispatched
//   cache.invalidate(endpoint, now);                                   // the endpoint restarted

#ifndef FIREFLYROUTE_CORE_SESSIONS_PREFIX_CACHE_H
#define FIREFLYROUTE_CORE_SESSIONS_PREFIX_CACHE_H

#include "core/common/clock.h"
#include "core/common/types.h"

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

// Default number of stored prefixes, about 250 bytes each.
constexpr std::size_t kPrefixCapacity = 32'768;

// Hashes of the prompt's prefixes at each block boundary, shortest first. Processes of the same
// build compute equal hashes.
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

// An endpoint that probably caches a prefix of the prompt.
struct PrefixHolder
{
    EndpointId endpoint;
    double hitFraction = 0; // expected fraction of the prompt's blocks in its cache
    std::size_t blocks = 0; // length of the longest prefix that was observed there

    bool operator==(const PrefixHolder &) const = default;
};

class PrefixCache
{
public:
    // Stores at most `capacity` prefixes and evicts the least recently observed ones first.
    explicit PrefixCache(std::size_t capacity)
        : capacity_(capacity)
    {}

    // Records that the endpoint had these prefixes cached at that time. Returns true if other
    // entries should be notified: at least one prefix was not recorded for the endpoint, or was
    // last recorded more than kRefreshInterval before.
    bool observe(const EndpointId &endpoint, std::span<const std::uint64_t> prefixes, Instant at);

    // Records that the endpoint's cache was empty at that time.
    void invalidate(const EndpointId &endpoint, Instant at);

    // Up to kMaxHolders endpoints, sorted by expected hit, best first.
    [[nodiscard]] std::vector<PrefixHolder> holders(std::span<const std::uint64_t> prefixes,
                                                    Instant now) const;

    [[nodiscard]] std::size_t size() const { return records_.size(); }

    static constexpr std::size_t kMaxHolders = 4;
    static constexpr std::chrono::seconds kRefreshInterval{10};

private:
    struct Observation
    {
        EndpointId endpoint; // empty if the slot is unused
        Instant at;
    };

    struct Record
    {
        std::uint64_t prefix = 0;
        std::array<Observation, kMaxHolders> observations; // each endpoint at most once
    };

    Record &touch(std::uint64_t prefix);
    [[nodiscard]] bool isStale(const Observation &observation) const;

    std::size_t capacity_;
    std::list<Record> records_; // most recently observed first
    std::unordered_map<std::uint64_t, std::list<Record>::iterator> byPrefix_; // index of records_
    // Observations of the endpoint up to this time are invalid.
    std::unordered_map<EndpointId, Instant> invalidatedAt_;
};

} // namespace fireflyroute::core

#endif
