// Schedulers that order the ranks.

#include "core/admission/admission_scheduler.h"

#include <algorithm>

namespace fireflyroute::core {

namespace {

constexpr double kPermille = 1000;

// Maximum debt of a rank caused by token estimates that were too low.
constexpr double kMaxDebtTokens = 100'000;

// Guarantees are lower bounds, so the scheduler targets a slightly larger share.
constexpr double kShareMargin = 1.05;

// The most urgent rank with a waiting request, if it may take a slot. Less urgent ranks never have
// more free slots than it has.
std::optional<Rank> mostUrgent(const RankHeads &heads)
{
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
        if (heads[rank].waiting)
            return heads[rank].hasSlot ? std::optional(static_cast<Rank>(rank)) : std::nullopt;
    }
    return std::nullopt;
}

// Whether the rank has a waiting request and a more urgent rank has one too.
bool waitsBehindMoreUrgent(const RankHeads &heads, std::size_t rank)
{
    const auto waits = [](const RankHead &head) { return head.waiting; };
    return heads[rank].waiting && std::any_of(heads.begin(), heads.begin() + rank, waits);
}

} // namespace

GuaranteedShareScheduler::GuaranteedShareScheduler(const RankPolicies &policies)
{
    double sum = 0;
    for (const RankPolicy &policy : policies)
        sum += policy.guaranteedSharePermille / kPermille;
    const double scale = sum * kShareMargin > 1 ? 1 / sum : kShareMargin;
    for (const RankPolicy &policy : policies) {
        shares_[static_cast<std::size_t>(policy.rank)] =
                policy.guaranteedSharePermille / kPermille * scale;
    }
}

std::optional<Rank> GuaranteedShareScheduler::choose(const RankHeads &heads) const
{
    // A guaranteed request takes the slot of the most urgent rank, so that rank must have one.
    const std::optional<Rank> first = mostUrgent(heads);
    if (!first)
        return std::nullopt;
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
        const bool hasCredit = credits_[rank] >= heads[rank].tokens / 2;
        if (shares_[rank] > 0 && hasCredit && waitsBehindMoreUrgent(heads, rank))
            return static_cast<Rank>(rank);
    }
    return first;
}

bool GuaranteedShareScheduler::recordDispatch(Rank rank, const RankHeads &heads)
{
    const auto chosen = static_cast<std::size_t>(rank);
    const double tokens = heads[chosen].tokens;
    for (std::size_t other = 0; other < kRankCount; ++other) {
        if (waitsBehindMoreUrgent(heads, other))
            credits_[other] += tokens * shares_[other];
        else
            credits_[other] = std::min(credits_[other], 0.0);
    }
    const bool fromGuarantee = waitsBehindMoreUrgent(heads, chosen);
    if (fromGuarantee)
        credits_[chosen] -= tokens;
    return fromGuarantee;
}

void GuaranteedShareScheduler::correctEstimate(Rank rank, double tokens)
{
    double &credit = credits_[static_cast<std::size_t>(rank)];
    credit = std::max(credit - tokens, -kMaxDebtTokens);
}

std::optional<Rank> PriorityScheduler::choose(const RankHeads &heads) const
{
    return mostUrgent(heads);
}

std::optional<Rank> ArrivalScheduler::choose(const RankHeads &heads) const
{
    std::optional<Rank> first;
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
        if (!heads[rank].waiting || !heads[rank].hasSlot)
            continue;
        if (!first || heads[rank].arrivedAt < heads[static_cast<std::size_t>(*first)].arrivedAt)
            first = static_cast<Rank>(rank);
    }
    return first;
}

} // namespace fireflyroute::core
