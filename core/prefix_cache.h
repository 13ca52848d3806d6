// Where prompt prefixes are probably cached. Engines say what they hold late and with gaps, and
// drop it without a word, so this is an estimate: what was seen longer ago counts less.
//
//   PrefixCache cache(kPrefixCapacity);
//   cache.observe(endpoint, announcement.cachedPrefixes, heardAt);   // what it says it holds
//   std::vector<std::uint64_t> prefixes = prefixHashes(prompt);
//   for (const PrefixHolder &holder : cache.holders(prefixes, now))
//       ...                                                          // probable hits, longest
//       first
//   cache.observe(chosen, prefixes, now);                            // it will hold them soon
//   cache.forget(endpoint, now);                                     // it restarted

#ifndef FIREFLYROUTE_CORE_PREFIX_CACHE_H
#define FIREFLYROUTE_CORE_PREFIX_CACHE_H

#include "core/clock.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

// Prefixes kept by default; about 250 bytes each.
constexpr std::size_t kPrefixCapacity = 32'768;

// Hashes of the prefixes of a prompt at each block border, shortest first. A prefix has the same
// hash in every process of one build.
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

// An endpoint that probably holds a prefix of the prompt.
struct PrefixHolder
{
    EndpointId endpoint;
    double hit = 0; // expected fraction of the prompt's blocks found in its cache
    std::size_t blocks = 0; // of the longest prefix that it was seen with

    bool operator==(const PrefixHolder &) const = default;
};

class PrefixCache
{
public:
    // Keeps at most `capacity` prefixes, the least recently seen go first.
    explicit PrefixCache(std::size_t capacity)
        : capacity_(capacity)
    {}

    // The endpoint held these prefixes at that time. Whether that is news: one of them was not
    // known to be there, or was seen there last longer than kNewsAfter before.
    bool observe(const EndpointId &endpoint, std::span<const std::uint64_t> prefixes, Instant at);

    // The endpoint's cache was empty at that time.
    void forget(const EndpointId &endpoint, Instant at);

    // Up to kMaxHolders endpoints, best hit first.
    [[nodiscard]] std::vector<PrefixHolder> holders(std::span<const std::uint64_t> prefixes,
                                                    Instant now) const;

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    static constexpr std::size_t kMaxHolders = 4;
    static constexpr std::chrono::seconds kNewsAfter{10};

private:
    struct Seen
    {
        EndpointId endpoint; // empty when the place is free
        Instant at;
    };

    struct Entry
    {
        std::uint64_t prefix = 0;
        std::array<Seen, kMaxHolders> seen; // an endpoint occurs once at most
    };

    Entry &touch(std::uint64_t prefix);
    [[nodiscard]] bool isStale(const Seen &seen) const;

    std::size_t capacity_;
    std::list<Entry> entries_; // most recently seen first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byPrefix_; // one per entry
    std::unordered_map<EndpointId, Instant> emptiedAt_; // sightings up to then are void
};

} // namespace fireflyroute::core

#endif
