// Maps ledger records to replication groups and reads the creation time of a claim key.

#ifndef FIREFLYROUTE_CORE_LEDGER_LEDGER_SHARD_H
#define FIREFLYROUTE_CORE_LEDGER_LEDGER_SHARD_H

#include "core/common/clock.h"
#include "core/ledger/ledger_types.h"

#include <optional>

namespace fireflyroute::core {

// Returns the group of a key among `groupCount` groups (at least 1). The result is the same on all
// VMs and in all builds. Changing the count moves keys to other groups and requires a migration.
[[nodiscard]] GroupId groupOf(const LedgerKey &key, std::uint32_t groupCount);

// Returns the time in an idempotency key that is a version 7 UUID, the last part of "account/key";
// nullopt for other keys.
[[nodiscard]] std::optional<WallTime> claimKeyTime(const std::string &name);

} // namespace fireflyroute::core

#endif
