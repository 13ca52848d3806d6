// Schedulers that decide which rank gets the next free slot. The scheduler is a policy of
// Admission:
//
//   Admission<GuaranteedShareScheduler> admission(...);   // used in production
//   Admission<PriorityScheduler> strict(...);             // baseline: strict priority
//   Admission<ArrivalScheduler> fifo(...);                // baseline: first come, first served

#ifndef FIREFLYROUTE_CORE_ADMISSION_ADMISSION_SCHEDULER_H
#define FIREFLYROUTE_CORE_ADMISSION_ADMISSION_SCHEDULER_H

#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/config/fleet_config.h"

#include <array>
#include <concepts>
#include <optional>

namespace fireflyroute::core {

// Next request of a rank, reduced to the fields that the scheduler needs.
struct RankHead
{
    bool waiting = false; // false if the rank has no request that may run
    bool hasSlot = false; // may take a slot without using the guarantee
    double tokens = 0;
    Instant arrivedAt;
};

using RankHeads = std::array<RankHead, kRankCount>;
using RankPolicies = std::array<RankPolicy, kRankCount>;

// Selects the rank that is served next. recordDispatch() follows each choice, with the same heads,
// and returns whether the request was charged to a guarantee. For such requests, correctEstimate()
// follows with the error of the token estimate once the actual number is known. kFairByAccount:
// requests of one rank are queued fairly by account and endpoints receive priorities; otherwise
// both are ordered by arrival. kReservesSlots: the other ranks leave slots free for urgent
// requests.
template<typename T>
concept RankScheduler = std::constructible_from<T, const RankPolicies &> && requires(
        T scheduler, const T &constant, const RankHeads &heads, Rank rank, double tokens)
{
    {
        constant.choose(heads)
        } -> std::same_as<std::optional<Rank>>;
    {
        scheduler.recordDispatch(rank, heads)
        } -> std::same_as<bool>;
    scheduler.correctEstimate(rank, tokens);
    {
        T::kFairByAccount
        } -> std::convertible_to<bool>;
    {
        T::kReservesSlots
        } -> std::convertible_to<bool>;
};

// Serves the most urgent rank first. A rank that waits behind a more urgent one earns credit: its
// guaranteed share of each served token. It is served first once its credit covers half of its next
// request; serving it then puts the rank in debt. The guarantee therefore holds over a window of
// about one request. Service of a rank while no more urgent rank waits uses spare capacity and is
// not charged.
class GuaranteedShareScheduler
{
public:
    static constexpr bool kFairByAccount = true;
    static constexpr bool kReservesSlots = true;

    explicit GuaranteedShareScheduler(const RankPolicies &policies);

    [[nodiscard]] std::optional<Rank> choose(const RankHeads &heads) const;
    bool recordDispatch(Rank rank, const RankHeads &heads);
    void correctEstimate(Rank rank, double tokens);

private:
    std::array<double, kRankCount> shares_{}; // target fractions; their sum is at most 1
    std::array<double, kRankCount> credits_{}; // in tokens; negative when in debt
};

// Baseline: always serves the most urgent waiting rank.
class PriorityScheduler
{
public:
    static constexpr bool kFairByAccount = true;
    static constexpr bool kReservesSlots = false;

    explicit PriorityScheduler(const RankPolicies &) {}

    [[nodiscard]] std::optional<Rank> choose(const RankHeads &heads) const;
    bool recordDispatch(Rank, const RankHeads &) { return false; }
    void correctEstimate(Rank, double) {}
};

// Baseline: serves the request that arrived first, regardless of rank and account.
class ArrivalScheduler
{
public:
    static constexpr bool kFairByAccount = false;
    static constexpr bool kReservesSlots = false;

    explicit ArrivalScheduler(const RankPolicies &) {}

    [[nodiscard]] std::optional<Rank> choose(const RankHeads &heads) const;
    bool recordDispatch(Rank, const RankHeads &) { return false; }
    void correctEstimate(Rank, double) {}
};

static_assert(RankScheduler<GuaranteedShareScheduler>);
static_assert(RankScheduler<PriorityScheduler>);
static_assert(RankScheduler<ArrivalScheduler>);

} // namespace fireflyroute::core

#endif
