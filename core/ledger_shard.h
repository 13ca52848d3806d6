// Which replication group keeps a ledger record, and how old a key says it is.

#ifndef FIREFLYROUTE_CORE_LEDGER_SHARD_H
#define FIREFLYROUTE_CORE_LEDGER_SHARD_H

#include "core/clock.h"
#include "core/ledger_types.h"

#include <optional>

namespace fireflyroute::core {

// The group of a key among `groupCount` groups, at least 1. The same on every VM and in every
// build; changing the count moves keys and needs a migration.
[[nodiscard]] GroupId groupOf(const LedgerKey &key, std::uint32_t groupCount);

// The time inside an idempotency key that is a version 7 UUID, the last part of "account/key";
// nothing for other keys.
[[nodiscard]] std::optional<WallTime> claimKeyTime(const std::string &name);

} // namespace fireflyroute::core

#endif
