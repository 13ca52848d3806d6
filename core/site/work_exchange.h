// Sums the outstanding work that entries report, so that each entry receives the work of all
// others. Runs on every control VM: an entry reports to its home (core/site/home_choice.h), and the
// control VMs send each other the sums of the entries at home there.
//
//   exchange.receive(entry, report, now);
//   exchange.receiveFromControlVm(vm, report, now);
//   entryLink.send(exchange.workOfOthers(entry, now));
//   controlLink.send(exchange.workOfEntries(now));

#ifndef FIREFLYROUTE_CORE_SITE_WORK_EXCHANGE_H
#define FIREFLYROUTE_CORE_SITE_WORK_EXCHANGE_H

#include "core/site/site_messages.h"

#include <map>
#include <unordered_map>

namespace fireflyroute::core {

class WorkExchange
{
public:
    // `reportLifetime`: how long a report is valid.
    explicit WorkExchange(Duration reportLifetime)
        : reportLifetime_(reportLifetime)
    {}

    void receive(const VmId &entry, const WorkReport &report, Instant now);
    void receiveFromControlVm(const VmId &vm, const WorkReport &report, Instant now);

    // The sum over all senders except the given entry. The cost does not depend on their number.
    [[nodiscard]] WorkReport workOfOthers(const VmId &entry, Instant now);

    // The sum over the entries that report to this control VM.
    [[nodiscard]] WorkReport workOfEntries(Instant now);

    // Whether the entry has reported recently.
    [[nodiscard]] bool isReporting(const VmId &entry) const
    {
        return entries_.reports.contains(entry);
    }

private:
    struct ReceivedReport
    {
        WorkReport report;
        Instant receivedAt;
    };

    struct Sum
    {
        std::uint64_t running = 0;
        std::uint64_t pendingPrefillTokens = 0;
    };

    // The reports of one kind of sender. Invariant: `sums` are the sums over `reports`, without
    // endpoints that have no work.
    struct Senders
    {
        std::map<VmId, ReceivedReport> reports; // the newest of each sender
        std::unordered_map<EndpointId, Sum> sums;

        void replace(const VmId &sender, const WorkReport &report, Instant now);
        void add(const WorkReport &report);
        void subtract(const WorkReport &report);
        void expire(Instant receivedBefore);
    };

    void expire(Instant now);

    Duration reportLifetime_;
    Senders entries_;
    Senders controlVms_;
};

} // namespace fireflyroute::core

#endif
