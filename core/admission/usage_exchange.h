// Exchange of account usage between entries, so that each entry charges an account for its requests
// on all entries.
//
//   UsageExchange exchange(vm, incarnation);
//   exchange.addTokens(key, 900);
//   send(exchange.report());                                    // every 500 ms, to each entry
//   for (const UsageDelta &delta : exchange.receive(report, age, now))
//       queue.charge(delta.key.account, weight, delta.tokens, maxLead);
//
// A report contains running totals of the keys that changed since the previous report, and
// periodically of all keys. A lost report therefore delays a charge, but no charge is lost or
// applied twice.

#ifndef FIREFLYROUTE_CORE_ADMISSION_USAGE_EXCHANGE_H
#define FIREFLYROUTE_CORE_ADMISSION_USAGE_EXCHANGE_H

#include "core/common/clock.h"
#include "core/common/types.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace fireflyroute::core {

// A set of interchangeable endpoints with one admission queue: a model or a plain service. All
// entries must use the same name for the same pool.
using PoolId = Identifier<struct PoolTag>;

// The key that usage is counted by.
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
    // Since the entry started; decreases when an estimate was too high.
    std::int64_t totalTokens = 0;
    std::uint32_t running = 0; // running requests

    bool operator==(const UsageLine &) const = default;
};

// Report of one entry to the others. The transport passes its age separately.
struct UsageReport
{
    VmId entry;
    Incarnation incarnation{0};
    std::uint64_t sequence = 0; // increases by one with each report of one incarnation, from 1
    std::vector<UsageLine> lines;

    bool operator==(const UsageReport &) const = default;
};

// The change made by a received report.
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

    // The next report for all other entries.
    [[nodiscard]] UsageReport report();

    // Applies a report that was made `age` ago and returns the changes: none for a repeated,
    // reordered or timed-out report or one of this entry itself. Totals from before the first
    // report that this entry received from the other one are taken as the baseline and not charged.
    std::vector<UsageDelta> receive(const UsageReport &report, Duration age, Instant now);

    // Releases the running requests of entries that have timed out.
    std::vector<UsageDelta> expire(Instant now);

    // Number of other entries that have reported within the timeout.
    [[nodiscard]] std::size_t peerCount() const { return peers_.size(); }

private:
    struct Peer
    {
        Incarnation incarnation{0};
        std::uint64_t sequence = 0; // of the newest report; never decreases in one incarnation
        bool hasFullHistory = false; // totals of new keys are charged in full
        Instant lastReportAt;
        std::map<UsageKey, UsageLine> lines;
    };

    static void releaseRunning(const Peer &peer, std::vector<UsageDelta> *deltas);

    VmId self_;
    Incarnation incarnation_;
    std::uint64_t sequence_ = 0;
    std::map<UsageKey, UsageLine> localUsage_;
    std::set<UsageKey> changed_; // keys of `localUsage_` changed since the last report
    std::map<VmId, Peer> peers_;
};

} // namespace fireflyroute::core

#endif
