// Admission state of one pool of interchangeable endpoints: its slots, one queue per rank, and the
// scheduler that orders the ranks. Used by Admission only, which owns deadlines and account limits.

#ifndef FIREFLYROUTE_CORE_ADMISSION_ADMISSION_POOL_H
#define FIREFLYROUTE_CORE_ADMISSION_ADMISSION_POOL_H

#include "core/admission/admission_rate.h"
#include "core/admission/admission_scheduler.h"
#include "core/admission/admission_types.h"
#include "core/admission/fair_queue.h"

#include <algorithm>
#include <array>
#include <concepts>
#include <optional>

namespace fireflyroute::core {

// Item of a queue of the pool.
struct QueuedRequest
{
    RequestId id;
    ClientAccountId account;
    Instant arrivedAt;
};

template<RankScheduler Scheduler>
class AdmissionPool
{
public:
    using Queue = FairQueue<QueuedRequest>;

    struct Choice
    {
        QueuedRequest request;
        Rank rank;
        bool fromGuarantee; // charged to the guaranteed share of the rank
    };

    explicit AdmissionPool(const RankPolicies &policies)
        : scheduler_(policies)
    {}

    // Applies new policies and, for queued requests, new account limits. Resets the credits of the
    // ranks.
    void configure(const RankPolicies &policies)
    {
        scheduler_ = Scheduler(policies);
        for (Queue &queue : queues_)
            queue.unblockAll();
    }

    void setSlots(std::uint32_t slots) { slots_ = slots; }
    // Whether at least one rank may start a request.
    [[nodiscard]] bool hasFreeSlot() const { return running_ < slots_ + reservedSlots(); }

    [[nodiscard]] const Queue &queue(Rank rank) const { return queues_[index(rank)]; }

    [[nodiscard]] std::size_t waiting(Rank rank, const ClientAccountId &account) const
    {
        return queues_[index(rank)].waiting(flowKey(account));
    }

    typename Queue::ElementHandle push(const AdmissionRequest &request, double weight,
                                       double tokens, Instant now)
    {
        const QueuedRequest queued{request.id, request.account, now};
        return queues_[index(request.rank)].push(flowKey(request.account), weight, tokens, queued);
    }

    void erase(Rank rank, typename Queue::ElementHandle elementHandle)
    {
        queues_[index(rank)].erase(elementHandle);
    }

    // Removes the next request from its queue and reserves a slot for it. Returns nothing if no
    // request may run.
    template<std::predicate<const ClientAccountId &> MayRun>
    std::optional<Choice> next(MayRun mayRun, Instant now)
    {
        RankHeads heads;
        for (std::size_t rank = 0; rank < kRankCount; ++rank) {
            const auto mayRunElement = [&](const typename Queue::Element &element) {
                return mayRun(element.item.account);
            };
            if (const auto *head = queues_[rank].head(mayRunElement))
                heads[rank] = RankHead{true, hasFreeSlot(static_cast<Rank>(rank), now),
                                       head->tokens, head->item.arrivedAt};
        }
        const std::optional<Rank> rank = scheduler_.choose(heads);
        if (!rank)
            return std::nullopt;
        const bool fromGuarantee = scheduler_.recordDispatch(*rank, heads);
        auto element = queues_[index(*rank)].pop();
        serviceRates_[index(*rank)].add(element.tokens, now);
        ++running_;
        return Choice{std::move(element.item), *rank, fromGuarantee};
    }

    // Priority of the request in the endpoint's own queue.
    static Rank priority(const Choice &choice)
    {
        if (!Scheduler::kFairByAccount)
            return Rank::Normal;
        return choice.fromGuarantee ? Rank::Urgent : choice.rank;
    }

    // Frees the slot of a request and corrects its token charge.
    void release(const UsageKey &key, double weight, double estimateError, bool fromGuarantee)
    {
        --running_;
        queues_[index(key.rank)].charge(flowKey(key.account), weight, estimateError,
                                        kUnboundedLead);
        if (fromGuarantee)
            scheduler_.correctEstimate(key.rank, estimateError);
    }

    // Updates the service rate with a completed request.
    void recordCompletion(double tokens, Duration busyTime)
    {
        slotRate_.recordCompletion(tokens, busyTime);
    }

    // Charges an account for its usage on other entries. The debt is bounded by what the fleet
    // serves in kDebtWindowSeconds; older usage is dropped.
    void chargeRemote(const UsageKey &key, double weight, double tokens, std::size_t entries)
    {
        const double lead = capacity() * static_cast<double>(entries) * kDebtWindowSeconds;
        const double bound = lead > 0 ? lead : kUnboundedLead;
        queues_[index(key.rank)].charge(flowKey(key.account), weight, tokens, bound);
    }

    void unblock(const ClientAccountId &account)
    {
        for (Queue &queue : queues_)
            queue.unblock(flowKey(account));
    }

    // Expected queueing time of a new request; zero while the service rate is unknown.
    [[nodiscard]] Duration expectedWait(const AdmissionRequest &request, double weight,
                                        const RankPolicies &policies, Instant now) const
    {
        const double capacity = this->capacity();
        const Queue &queue = queues_[index(request.rank)];
        const bool startsImmediately = hasFreeSlot(request.rank, now) && queue.size() == 0;
        if (startsImmediately || capacity == 0)
            return Duration::zero();
        double remaining = capacity;
        for (std::size_t rank = 0; rank < index(request.rank); ++rank)
            remaining -= serviceRates_[rank].perSecond(now);
        const RankPolicy &policy = policies[index(request.rank)];
        const double guaranteed = capacity * policy.guaranteedSharePermille / kPermille;
        const double rate = std::max({remaining, guaranteed, capacity * kMinRateFraction});
        const double tokensAhead = queue.tokensAhead(flowKey(request.account), weight);
        return std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(tokensAhead / rate));
    }

private:
    static constexpr double kPermille = 1000;
    static constexpr double kDebtWindowSeconds = 10;
    static constexpr Duration kServiceRateWindow = std::chrono::seconds(5);
    static constexpr double kActiveTokensPerSecond = 1; // a rank below this rate counts as idle
    // Minimum rate of ranks without a guarantee, as a fraction of capacity.
    static constexpr double kMinRateFraction = 0.01;

    // Slots are divided between the entries, so a burst of urgent requests may reach a full entry
    // while another entry has free slots. Urgent requests may therefore exceed the slots by a
    // fraction, and the other ranks keep the same number of slots free if urgent requests were
    // served recently.
    static constexpr std::uint32_t kSlotsPerReserved = 6;

    [[nodiscard]] std::uint32_t reservedSlots() const
    {
        return Scheduler::kReservesSlots ? slots_ / kSlotsPerReserved : 0;
    }

    [[nodiscard]] bool hasFreeSlot(Rank rank, Instant now) const
    {
        if (rank == Rank::Urgent)
            return hasFreeSlot();
        const double urgent = serviceRates_[index(Rank::Urgent)].perSecond(now);
        const std::uint32_t reserved = urgent >= kActiveTokensPerSecond ? reservedSlots() : 0;
        return running_ + reserved < slots_;
    }

    static std::size_t index(Rank rank) { return static_cast<std::size_t>(rank); }

    // Queue key: the account, or one common key if the scheduler does not separate accounts.
    static const ClientAccountId &flowKey(const ClientAccountId &account)
    {
        static const ClientAccountId sharedKey;
        return Scheduler::kFairByAccount ? account : sharedKey;
    }

    // Tokens per second with all slots busy; 0 if unknown.
    [[nodiscard]] double capacity() const { return slots_ * slotRate_.tokensPerSecond(); }

    std::uint32_t slots_ = 0;
    std::uint32_t running_ = 0; // may exceed slots_ after slots_ was reduced
    std::array<Queue, kRankCount> queues_;
    std::array<DecayingRate, kRankCount> serviceRates_{DecayingRate(kServiceRateWindow),
                                                       DecayingRate(kServiceRateWindow),
                                                       DecayingRate(kServiceRateWindow)};
    Scheduler scheduler_;
    SlotRate slotRate_;
};

} // namespace fireflyroute::core

#endif
