// Running sums of outstanding work.

#include "core/site/work_exchange.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace fireflyroute::core {

namespace {

std::uint32_t narrow(std::uint64_t value)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(value, UINT32_MAX));
}

bool hasWork(const EndpointWork &work)
{
    return work.running != 0 || work.pendingPrefillTokens != 0;
}

} // namespace

void WorkExchange::Senders::add(const WorkReport &report)
{
    for (const EndpointWork &work : report.work) {
        if (!hasWork(work))
            continue;
        Sum &sum = sums[work.id];
        sum.running += work.running;
        sum.pendingPrefillTokens += work.pendingPrefillTokens;
    }
}

void WorkExchange::Senders::subtract(const WorkReport &report)
{
    for (const EndpointWork &work : report.work) {
        if (!hasWork(work))
            continue;
        const auto sum = sums.find(work.id);
        sum->second.running -= work.running;
        sum->second.pendingPrefillTokens -= work.pendingPrefillTokens;
        if (sum->second.running == 0 && sum->second.pendingPrefillTokens == 0)
            sums.erase(sum);
    }
}

void WorkExchange::Senders::replace(const VmId &sender, const WorkReport &report, Instant now)
{
    // Adding first keeps the sums of endpoints that occur in both reports.
    add(report);
    ReceivedReport &received = reports[sender];
    subtract(std::exchange(received.report, report));
    received.receivedAt = now;
}

void WorkExchange::Senders::expire(Instant receivedBefore)
{
    for (auto it = reports.begin(); it != reports.end();) {
        if (it->second.receivedAt >= receivedBefore) {
            ++it;
            continue;
        }
        subtract(it->second.report);
        it = reports.erase(it);
    }
}

void WorkExchange::expire(Instant now)
{
    entries_.expire(now - reportLifetime_);
    controlVms_.expire(now - reportLifetime_);
}

void WorkExchange::receive(const VmId &entry, const WorkReport &report, Instant now)
{
    entries_.replace(entry, report, now);
}

void WorkExchange::receiveFromControlVm(const VmId &vm, const WorkReport &report, Instant now)
{
    controlVms_.replace(vm, report, now);
}

WorkReport WorkExchange::workOfOthers(const VmId &entry, Instant now)
{
    expire(now);
    std::unordered_map<EndpointId, Sum> others = entries_.sums;
    for (const auto &[id, sum] : controlVms_.sums) {
        Sum &other = others[id];
        other.running += sum.running;
        other.pendingPrefillTokens += sum.pendingPrefillTokens;
    }
    if (const auto own = entries_.reports.find(entry); own != entries_.reports.end()) {
        for (const EndpointWork &work : own->second.report.work) {
            Sum &other = others[work.id];
            other.running -= work.running;
            other.pendingPrefillTokens -= work.pendingPrefillTokens;
        }
    }
    WorkReport report;
    for (const auto &[id, sum] : others) {
        if (sum.running != 0 || sum.pendingPrefillTokens != 0)
            report.work.push_back({id, narrow(sum.running), narrow(sum.pendingPrefillTokens)});
    }
    return report;
}

WorkReport WorkExchange::workOfEntries(Instant now)
{
    expire(now);
    WorkReport report;
    for (const auto &[id, sum] : entries_.sums)
        report.work.push_back({id, narrow(sum.running), narrow(sum.pendingPrefillTokens)});
    return report;
}

} // namespace fireflyroute::core
