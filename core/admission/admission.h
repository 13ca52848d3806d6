// Admission control of one entry. Decides when a request may be dispatched to an endpoint and
// refuses requests early that can't be served in time. There are three ranks, urgent first, with a
// guaranteed share for the others. Within a rank, client accounts share capacity fairly by tokens;
// their usage on other entries is counted as well.
//
//   Admission<> admission(vm, incarnation);
//   admission.configure(fleetConfig, now);                // and after each new revision
//   admission.step(CapacityChanged{pool, 96}, now);       // and after each change
//   for (const AdmissionAction &action : admission.step(RequestArrived{request}, now))
//       ...                                               // dispatch or refuse by id
//   admission.step(RequestFinished{id, tokens}, now);     // for each dispatched request
//   admission.step(AdmissionCancelled{id}, now);          // at any time, also after the end
//   admission.step(AdmissionTick{}, now);                 // at nextDeadline() and each second
//   send(admission.usageReport());                        // to the other entries, each 500 ms
//   admission.step(UsageReported{report, age}, now);      // from the other entries
//
// Any step may return actions for any request, so every caller of step() must carry out all of the
// returned actions. The class is not synchronised. A step takes a few microseconds, so one mutex
// around the object is sufficient; carry out the actions after releasing the mutex.
//
// Each request that arrives is answered by exactly one DispatchRequest or RefuseRequest, or by
// nothing if its caller cancels first. A refused request has never been dispatched. The cost of a
// step grows with the logarithm of the number of accounts and of waiting requests; a step that
// processes a usage report is linear in the report's lines.
//
// A pool is a set of interchangeable endpoints: those of one model or plain service. The caller
// sets how many slots of the pool this entry may use: usually the concurrency of all endpoints of
// the pool divided by the number of live entries, which usage reports provide. Urgent
// requests may exceed that by one sixth, so endpoints need a short queue ordered by
// DispatchRequest::priority.

#ifndef FIREFLYROUTE_CORE_ADMISSION_ADMISSION_H
#define FIREFLYROUTE_CORE_ADMISSION_ADMISSION_H

#include "core/admission/admission_accounts.h"
#include "core/admission/admission_pool.h"
#include "core/admission/admission_scheduler.h"
#include "core/admission/admission_types.h"
#include "core/admission/usage_exchange.h"

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fireflyroute::core {

// Totals since the process started, and the current numbers of waiting and running requests.
struct AdmissionCounters
{
    std::array<std::uint64_t, kRankCount> arrived{};
    std::array<std::uint64_t, kRankCount> dispatched{};
    std::array<std::uint64_t, kRankCount> cancelled{}; // cancelled while waiting
    std::array<std::uint64_t, EnumNames<RefusalReason>::table.size()> refused{};
    std::array<std::uint64_t, kRankCount> waiting{};
    std::uint64_t running = 0;
};

template<RankScheduler Scheduler = GuaranteedShareScheduler>
class Admission
{
public:
    using Actions = std::vector<AdmissionAction>;

    Admission(VmId entry, Incarnation incarnation)
        : exchange_(std::move(entry), incarnation)
    {}

    // Applies new rank policies and account limits. Waiting requests stay queued.
    void configure(const FleetConfig &config, Instant now);

    Actions step(const AdmissionInput &input, Instant now)
    {
        Actions actions;
        std::visit([&](const auto &message) { handle(message, now, &actions); }, input);
        return actions;
    }

    // Time at which the next waiting request must be refused; nothing if none is waiting.
    [[nodiscard]] std::optional<Instant> nextDeadline() const
    {
        if (expiries_.empty())
            return std::nullopt;
        return expiries_.begin()->first;
    }

    // Next usage report of this entry. Call at regular intervals.
    [[nodiscard]] UsageReport usageReport() { return exchange_.report(); }

    [[nodiscard]] const AdmissionCounters &counters() const { return counters_; }

private:
    using Pool = AdmissionPool<Scheduler>;

    struct Waiting
    {
        AdmissionRequest request;
        typename Pool::Queue::ElementHandle elementHandle;
        Instant arrivedAt;
        Instant expiresAt;
    };

    struct Running
    {
        UsageKey key;
        double tokens = 0; // as charged at dispatch
        bool fromGuarantee = false; // charged to the guaranteed share of the rank
        Instant startedAt;
    };

    void handle(const RequestArrived &message, Instant now, Actions *actions);
    void handle(const RequestFinished &message, Instant now, Actions *actions);
    void handle(const AdmissionCancelled &message, Instant now, Actions *actions);
    void handle(const CapacityChanged &message, Instant now, Actions *actions);
    void handle(const UsageReported &message, Instant now, Actions *actions);
    void handle(const AdmissionTick &message, Instant now, Actions *actions);

    std::optional<RefuseRequest> refusal(const AdmissionRequest &request, Pool &pool, Instant now);
    void enqueue(const AdmissionRequest &request, Pool &pool, Instant now);
    Waiting dequeue(typename std::unordered_map<RequestId, Waiting>::iterator found);
    void refuseExpired(Instant now, Actions *actions);
    void dispatch(const PoolId &id, Pool &pool, Instant now, Actions *actions);
    void dispatchAll(Instant now, Actions *actions);
    bool apply(const std::vector<UsageDelta> &deltas, Instant now);
    bool changeRunning(const ClientAccountId &account, std::int64_t change);
    void refuse(const RefuseRequest &refused, Actions *actions);
    Pool &pool(const PoolId &id) { return pools_.try_emplace(id, policies_).first->second; }

    static double estimate(const AdmissionRequest &request)
    {
        return std::max<std::uint32_t>(request.estimatedTokens, 1);
    }
    static std::size_t index(Rank rank) { return static_cast<std::size_t>(rank); }
    const RankPolicy &policy(Rank rank) const { return policies_[index(rank)]; }

    RankPolicies policies_ = Defaults().ranks; // in the order of Rank
    AdmissionAccounts accounts_;
    UsageExchange exchange_;
    std::unordered_map<PoolId, Pool> pools_;
    // A request is in at most one of waiting_ and running_.
    std::unordered_map<RequestId, Waiting> waiting_;
    std::unordered_map<RequestId, Running> running_;
    std::set<std::pair<Instant, RequestId>> expiries_; // one per request in waiting_
    AdmissionCounters counters_;
};

} // namespace fireflyroute::core

#include "core/admission/admission_impl.h"

#endif
