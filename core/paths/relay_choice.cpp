// Choice of relays.

#include "core/paths/relay_choice.h"

#include <functional>

namespace fireflyroute::core {

RelayChooser::RelayChooser(const VmId &self)
    : turn_(std::hash<std::string>()(self.value()))
{}

std::optional<VmId> RelayChooser::next(Instant now)
{
    const std::vector<VmId> candidates = usable(now);
    if (candidates.empty())
        return std::nullopt;
    return candidates[turn_++ % candidates.size()];
}

void RelayChooser::recordFailure(const VmId &relay, Instant now)
{
    std::erase_if(failedAt_,
                  [&](const auto &failure) { return now - failure.second >= kCooldown; });
    failedAt_[relay] = now;
}

std::vector<VmId> RelayChooser::usable(Instant now) const
{
    std::vector<VmId> found;
    for (const VmId &relay : relays_) {
        const auto failure = failedAt_.find(relay);
        const bool isInCooldown = failure != failedAt_.end() && now - failure->second < kCooldown;
        if (!isInCooldown && found.size() < kSpread)
            found.push_back(relay);
    }
    return found;
}

} // namespace fireflyroute::core
