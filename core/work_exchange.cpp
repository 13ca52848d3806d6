// Sums of outstanding work over entries.

#include "core/work_exchange.h"

namespace fireflyroute::core {

void WorkExchange::receive(const VmId &entry, const WorkReport &report, Instant now)
{
    entries_[entry] = ReceivedReport{report, now};
    std::erase_if(entries_,
                  [&](const auto &item) { return now - item.second.receivedAt > reportLifetime_; });
}

WorkReport WorkExchange::workOfOthers(const VmId &entry, Instant now) const
{
    std::map<EndpointId, EndpointWork> sums;
    for (const auto &[other, received] : entries_) {
        if (other == entry || now - received.receivedAt > reportLifetime_)
            continue;
        for (const EndpointWork &work : received.report.work) {
            EndpointWork &sum = sums[work.id];
            sum.running += work.running;
            sum.pendingPrefillTokens += work.pendingPrefillTokens;
        }
    }
    WorkReport report;
    for (auto &[id, sum] : sums) {
        sum.id = id;
        report.work.push_back(std::move(sum));
    }
    return report;
}

} // namespace fireflyroute::core
