// Builds the claim commands that the leader replicates.

#include "core/ledger/claim_sweep.h"

#include <fmt/format.h>

namespace fireflyroute::core {

namespace {

const OperatorName kSweepAuthor("claim-sweep");

} // namespace

std::vector<ClaimCommand> abandonLostClaims(const Ledger &ledger, const EntryRegistry &registry,
                                            const ClockReading &now)
{
    std::vector<ClaimCommand> commands;
    for (const auto &[vm, incarnation] : ledger.runningClaimants()) {
        if (!registry.isLost(VmIncarnation{vm, incarnation}, now.monotonic))
            continue;
        const std::string id = fmt::format("{}/abandon/{}/{}", kSweepAuthor.value(), vm.value(),
                                           toNumber(incarnation));
        commands.push_back(ClaimCommand{CommandId(id), kSweepAuthor, now.wall,
                                        AbandonClaims{vm, incarnation}});
    }
    return commands;
}

ClaimCommand sealOldClaims(WallTime now)
{
    const WallTime before = now - kClaimRetention;
    const std::string id =
            fmt::format("{}/seal/{}", kSweepAuthor.value(), before.time_since_epoch().count());
    return ClaimCommand{CommandId(id), kSweepAuthor, now, SealClaims{before}};
}

} // namespace fireflyroute::core
