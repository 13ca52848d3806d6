// Exchange of account usage: sends running totals and returns differences.

#include "core/admission/usage_exchange.h"

#include <utility>

namespace fireflyroute::core {

namespace {

// One in this many reports contains all keys, which compensates for lost reports.
constexpr std::uint64_t kFullReportInterval = 20;

// Time without a report after which an entry's running requests no longer count.
constexpr Duration kPeerTimeout = std::chrono::seconds(10);

} // namespace

UsageExchange::UsageExchange(VmId self, Incarnation incarnation)
    : self_(std::move(self))
    , incarnation_(incarnation)
{}

void UsageExchange::addTokens(const UsageKey &key, std::int64_t tokens)
{
    UsageLine &line = localUsage_[key];
    line.key = key;
    line.totalTokens += tokens;
    changed_.insert(key);
}

void UsageExchange::addRunning(const UsageKey &key, std::int32_t change)
{
    UsageLine &line = localUsage_[key];
    line.key = key;
    line.running += static_cast<std::uint32_t>(change);
    changed_.insert(key);
}

UsageReport UsageExchange::report()
{
    ++sequence_;
    UsageReport report{self_, incarnation_, sequence_, {}};
    if (sequence_ % kFullReportInterval == 0) {
        for (const auto &[key, line] : localUsage_)
            report.lines.push_back(line);
    } else {
        for (const UsageKey &key : changed_)
            report.lines.push_back(localUsage_.at(key));
    }
    changed_.clear();
    return report;
}

std::vector<UsageDelta> UsageExchange::receive(const UsageReport &report, Duration age, Instant now)
{
    std::vector<UsageDelta> deltas;
    if (report.entry == self_ || age >= kPeerTimeout)
        return deltas;
    const auto [found, isNew] = peers_.try_emplace(report.entry);
    Peer &peer = found->second;
    if (!isNew
        && std::pair(report.incarnation, report.sequence)
                   <= std::pair(peer.incarnation, peer.sequence))
        return deltas;
    if (isNew || report.incarnation != peer.incarnation) {
        releaseRunning(peer, &deltas);
        peer = Peer{.incarnation = report.incarnation,
                    .hasFullHistory = !isNew || report.sequence == 1};
    }
    peer.sequence = report.sequence;
    peer.lastReportAt = now - age;
    for (const UsageLine &line : report.lines) {
        const auto [previous, isNewKey] = peer.lines.try_emplace(line.key);
        if (isNewKey && !peer.hasFullHistory)
            previous->second.totalTokens = line.totalTokens;
        deltas.push_back(UsageDelta{line.key, line.totalTokens - previous->second.totalTokens,
                                    std::int64_t{line.running} - previous->second.running});
        previous->second = line;
    }
    return deltas;
}

std::vector<UsageDelta> UsageExchange::expire(Instant now)
{
    std::vector<UsageDelta> deltas;
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now - it->second.lastReportAt < kPeerTimeout) {
            ++it;
            continue;
        }
        releaseRunning(it->second, &deltas);
        it = peers_.erase(it);
    }
    return deltas;
}

void UsageExchange::releaseRunning(const Peer &peer, std::vector<UsageDelta> *deltas)
{
    for (const auto &[key, line] : peer.lines) {
        if (line.running > 0)
            deltas->push_back(UsageDelta{key, 0, -std::int64_t{line.running}});
    }
}

} // namespace fireflyroute::core
