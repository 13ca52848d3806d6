// Chooses the relay for each new connection of an isolated entry.
//
//   RelayChooser relays(ownVm);
//   relays.setRelays(fromLeader);                    // best first
//   if (const std::optional<VmId> relay = relays.next(now)) ...
//   relays.recordFailure(*relay, now);

#ifndef FIREFLYROUTE_CORE_PATHS_RELAY_CHOICE_H
#define FIREFLYROUTE_CORE_PATHS_RELAY_CHOICE_H

#include "core/common/clock.h"
#include "core/common/types.h"

#include <map>
#include <optional>
#include <vector>

namespace fireflyroute::core {

class RelayChooser
{
public:
    // How long a relay that failed is not used. The leader's next list follows within this time.
    static constexpr std::chrono::seconds kCooldown{2};

    // Connections take turns among this many of the best relays, so that one that is slow or full
    // affects a part of them only.
    static constexpr std::size_t kSpread = 3;

    // Entries start at different relays.
    explicit RelayChooser(const VmId &self);

    void setRelays(std::vector<VmId> relays) { relays_ = std::move(relays); }

    [[nodiscard]] std::optional<VmId> next(Instant now);
    [[nodiscard]] bool hasUsable(Instant now) const { return !usable(now).empty(); }

    void recordFailure(const VmId &relay, Instant now);

private:
    // The best relays outside their cooldown, at most kSpread.
    [[nodiscard]] std::vector<VmId> usable(Instant now) const;

    std::vector<VmId> relays_; // best first
    std::map<VmId, Instant> failedAt_; // in cooldown
    std::size_t turn_;
};

} // namespace fireflyroute::core

#endif
