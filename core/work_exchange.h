// Merges what entries say of the work that they have sent to endpoints, so that each entry learns
// what all others have sent. Runs on the leader.
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
    // `lifetime`: a report counts for so long.
    explicit WorkExchange(Duration reportLifetime)
        : reportLifetime_(reportLifetime)
    {}

    void receive(const VmId &entry, const WorkReport &report, Instant now);

    // The sum over all entries but this one.
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
