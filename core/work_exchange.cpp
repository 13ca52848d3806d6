// Sums of work over entries.

#include "core/work_exchange.h"

namespace fireflyroute::core {

void WorkExchange::receive(const VmId &entry, const WorkReport &report, Instant now)
{
    entries_[entry] = Heard{report, now};
    std::erase_if(entries_, [&](const auto &one) { return now - one.second.at > lifetime_; });
}

WorkReport WorkExchange::othersOf(const VmId &entry, Instant now) const
{
    std::map<EndpointId, EndpointWork> sums;
    for (const auto &[other, heard] : entries_) {
        if (other == entry || now - heard.at > lifetime_)
            continue;
        for (const EndpointWork &work : heard.report.work) {
            EndpointWork &sum = sums[work.id];
            sum.running += work.running;
            sum.unreadTokens += work.unreadTokens;
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
