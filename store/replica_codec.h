// Binary encoding of the replicated log's values: journal records and snapshot files.

#ifndef FIREFLYROUTE_STORE_REPLICA_CODEC_H
#define FIREFLYROUTE_STORE_REPLICA_CODEC_H

#include "core/group/replication_types.h"
#include "store/journal_format.h"

#include <optional>

namespace fireflyroute::store {

// Removes all entries of a group's log. The log continues after `index`.
struct LogReset
{
    core::LogIndex index = 0;
};

[[nodiscard]] JournalRecord encodeHardState(core::GroupId group, const core::HardState &state);
[[nodiscard]] JournalRecord encodeEntry(core::GroupId group, const core::LogEntry &entry);
[[nodiscard]] JournalRecord encodeReset(core::GroupId group, const LogReset &reset);

// Returns the group of any of these records, or nothing if the payload is malformed.
[[nodiscard]] std::optional<core::GroupId> decodeGroup(const JournalRecord &record);
[[nodiscard]] std::optional<core::HardState> decodeHardState(const JournalRecord &record);
[[nodiscard]] std::optional<core::LogEntry> decodeEntry(const JournalRecord &record);
[[nodiscard]] std::optional<LogReset> decodeReset(const JournalRecord &record);

// Encodes and decodes a snapshot file, which contains a format version and a checksum.
[[nodiscard]] std::string encodeSnapshot(const core::Snapshot &snapshot);
[[nodiscard]] Result<core::Snapshot> decodeSnapshot(std::string_view bytes,
                                                    const std::string &name);

} // namespace fireflyroute::store

#endif
