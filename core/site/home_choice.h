// Chooses the home of an entry: the control VM that exchanges its work and its updates with those
// of the other entries.
//
//   const std::optional<VmId> home = chooseHome(self, {{vm, isSameRegion}, ...});
//
// A rendezvous hash spreads the entries over the control VMs of their region, or over all if none
// of those is connected, and moves as few entries as possible when the candidates change.

#ifndef FIREFLYROUTE_CORE_SITE_HOME_CHOICE_H
#define FIREFLYROUTE_CORE_SITE_HOME_CHOICE_H

#include "core/common/stable_hash.h"
#include "core/common/types.h"

#include <optional>
#include <utility>
#include <vector>

namespace fireflyroute::core {

struct HomeCandidate
{
    VmId vm; // connected, and heard of recently
    bool isSameRegion = false;
};

[[nodiscard]] inline std::optional<VmId> chooseHome(const VmId &self,
                                                    const std::vector<HomeCandidate> &candidates)
{
    std::optional<VmId> best;
    std::pair<bool, std::uint64_t> highestRank;
    for (const HomeCandidate &candidate : candidates) {
        const std::pair rank(candidate.isSameRegion,
                             mixBits(hashText(self.value()) ^ hashText(candidate.vm.value())));
        if (best && rank <= highestRank)
            continue;
        best = candidate.vm;
        highestRank = rank;
    }
    return best;
}

} // namespace fireflyroute::core

#endif
