// Exchange of account usage between entries, so that an account which spreads its requests over
// all entries is charged for all of them on each.
//
//   UsageExchange exchange(vm, incarnation);
//   exchange.addTokens(key, 900);
//   send(exchange.report());                                    // every 500 ms, to each entry
//   for (const UsageDelta &delta : exchange.receive(report, age, now))
//       queue.charge(delta.key.account, weight, delta.tokens, maxLead);
//
// A report carries running totals of the keys that changed since the one before it, and all keys
// now and then, so a lost report delays a charge and never loses or doubles it.

#ifndef FIREFLYROUTE_CORE_USAGE_EXCHANGE_H
#define FIREFLYROUTE_CORE_USAGE_EXCHANGE_H

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace fireflyroute::core {

// A set of interchangeable endpoints with one admission queue: a model or a plain service. Entries
// have to use the same name for the same pool.
using PoolId = Identifier<struct PoolTag>;

// What usage is counted by.
struct UsageKey
{
    PoolId pool;
    ClientAccountId account;
    Rank rank = Rank::Normal;

    auto operator<=>(const UsageKey &) const = default;
};

// Usage of one key on one entry.
struct UsageLine
{
    UsageKey key;
    std::int64_t totalTokens = 0; // since the entry started; falls when an estimate was too high
    std::uint32_t running = 0; // requests in flight

    bool operator==(const UsageLine &) const = default;
};

// What one entry tells the others. Its age is passed beside it, from the transport.
struct UsageReport
{
    VmId entry;
    Incarnation incarnation{0};
    std::uint64_t sequence = 0; // grows by one with each report of one incarnation, from 1
    std::vector<UsageLine> lines;

    bool operator==(const UsageReport &) const = default;
};

// What a received report changed.
struct UsageDelta
{
    UsageKey key;
    std::int64_t tokens = 0;
    std::int64_t running = 0;

    bool operator==(const UsageDelta &) const = default;
};

class UsageExchange
{
public:
    UsageExchange(VmId self, Incarnation incarnation);

    void addTokens(const UsageKey &key, std::int64_t tokens);
    void addRunning(const UsageKey &key, std::int32_t change);

    // The next report to all other entries.
    [[nodiscard]] UsageReport report();

    // Takes in a report that was made `age` ago and returns what is new in it: nothing for a
    // repeated, reordered or own one. Totals from before this entry first heard of the other are
    // taken as the base and not charged.
    std::vector<UsageDelta> receive(const UsageReport &report, Duration age, Instant now);

    // Gives back the requests in flight of entries that fell silent.
    std::vector<UsageDelta> expire(Instant now);

    // Number of other entries that were heard of lately.
    [[nodiscard]] std::size_t peerCount() const { return peers_.size(); }

private:
    struct Peer
    {
        Incarnation incarnation{0};
        std::uint64_t sequence = 0; // of the newest report; never goes back in one incarnation
        bool hasFullHistory = false; // whether totals of unseen keys are all news
        Instant lastReportAt;
        std::map<UsageKey, UsageLine> lines;
    };

    static void releaseRunning(const Peer &peer, std::vector<UsageDelta> *deltas);

    VmId self_;
    Incarnation incarnation_;
    std::uint64_t sequence_ = 0;
    std::map<UsageKey, UsageLine> localUsage_;
    std::set<UsageKey> changed_; // keys of `own_` that changed since the last report
    std::map<VmId, Peer> peers_;
};

} // namespace fireflyroute::core

#endif
