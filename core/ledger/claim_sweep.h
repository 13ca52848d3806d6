// Periodic claim maintenance by the leader: builds the commands that mark claims of lost claimants
// as unknown and drop old finished claims.
//
//   for (const ClaimCommand &command : abandonLostClaims(ledger, registry, now))
//       replicate(command);                              // every second
//   replicate(sealOldClaims(now));                       // every hour
//
// Call these functions only on a leader that has caught up with the log. Command ids are derived
// from the command contents, and applying a command again changes nothing.

#ifndef FIREFLYROUTE_CORE_LEDGER_CLAIM_SWEEP_H
#define FIREFLYROUTE_CORE_LEDGER_CLAIM_SWEEP_H

#include "core/leases/config_lease.h"
#include "core/leases/entry_registry.h"
#include "core/ledger/ledger.h"

#include <vector>

namespace fireflyroute::core {

// Retention of the answer of a finished claim. A key that is a version 7 UUID may be resent until
// this long after the time encoded in the key.
constexpr std::chrono::hours kClaimRetention{7 * 24};

// Returns one command for each lost claimant that has running claims.
[[nodiscard]] std::vector<ClaimCommand>
abandonLostClaims(const Ledger &ledger, const EntryRegistry &registry, const ClockReading &now);

[[nodiscard]] ClaimCommand sealOldClaims(WallTime now);

} // namespace fireflyroute::core

#endif
