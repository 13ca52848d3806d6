// Grants and the choice of connections to close.

#include "core/admission/byte_budget.h"

#include <tuple>

namespace fireflyroute::core {

HoldVerdict ByteBudget::ask(Holding &holding, std::size_t bytes, Duration waited)
{
    if (fits(holding, bytes)) {
        set(holding, bytes);
        return HoldVerdict::Granted;
    }
    return waited < limits_.maxWait ? HoldVerdict::Wait : HoldVerdict::Refused;
}

void ByteBudget::set(Holding &holding, std::size_t bytes)
{
    used_ += bytes - holding.bytes;
    largeUsed_ -= isLarge(holding.bytes) ? holding.bytes : 0;
    largeUsed_ += isLarge(bytes) ? bytes : 0;
    holding.bytes = bytes;
}

bool ByteBudget::fits(const Holding &holding, std::size_t bytes) const
{
    if (bytes <= holding.bytes)
        return true;
    const std::size_t used = used_ - holding.bytes + bytes;
    if (!isLarge(bytes))
        return used <= limits_.totalBytes;
    const std::size_t otherLarge = largeUsed_ - (isLarge(holding.bytes) ? holding.bytes : 0);
    return otherLarge == 0
           || (otherLarge + bytes <= limits_.largeBytes() && used <= limits_.totalBytes);
}

std::optional<std::size_t> ByteBudget::chooseToClose(const std::vector<HolderState> &holders,
                                                     std::size_t bytes, Instant now) const
{
    // Stalled before progressing, then by size, then by age.
    using Order = std::tuple<bool, std::size_t, Duration>;
    std::optional<std::size_t> chosen;
    Order highest{};
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const HolderState &holder = holders[i];
        const Duration age = now - holder.lastProgressAt;
        const bool isStalled = age >= limits_.stallPeriod;
        const bool yieldsToOrdinary =
                !isLarge(bytes) && holder.phase == HoldPhase::Receiving && isLarge(holder.bytes);
        if (holder.phase == HoldPhase::Running || holder.bytes == 0
            || !(isStalled || yieldsToOrdinary))
            continue;
        const Order order(isStalled, holder.bytes, age);
        if (!chosen || order > highest) {
            chosen = i;
            highest = order;
        }
    }
    return chosen;
}

} // namespace fireflyroute::core
