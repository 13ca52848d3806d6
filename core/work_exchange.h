// Merges the entries' reports of outstanding work, so that each entry receives the work of all
// other entries. Runs on the leader.
//
//   exchange.receive(entry, report, now);
//   link.send(exchange.workOfOthers(entry, now));

#ifndef FIREFLYROUTE_CORE_WORK_EXCHANGE_H
#define FIREFLYROUTE_CORE_WORK_EXCHANGE_H

#include "core/site_messages.h"

#include <map>

namespace fireflyroute::core {

class WorkExchange
{
public:
    // `reportLifetime`: how long a report is valid.
    explicit WorkExchange(Duration reportLifetime)
        : reportLifetime_(reportLifetime)
    {}

    void receive(const VmId &entry, const WorkReport &report, Instant now);

    // The sum over all entries except the given one.
    [[nodiscard]] WorkReport workOfOthers(const VmId &entry, Instant now) const;

private:
    struct ReceivedReport
    {
        WorkReport report;
        Instant receivedAt;
    };

    Duration reportLifetime_;
    std::map<VmId, ReceivedReport> entries_;
};

} // namespace fireflyroute::core

#endif
