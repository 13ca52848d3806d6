// Rebuilds the state of one group from its journal records and its snapshot.
//
//   GroupReplay replay(snapshot);
//   replay.add(record);                       // each record of the group, in journal order
//   Result<RecoveredGroup> group = replay.finish();
//
// Of the entries that the snapshot covers, only the positions are kept.

#ifndef FIREFLYROUTE_STORE_GROUP_REPLAY_H
#define FIREFLYROUTE_STORE_GROUP_REPLAY_H

#include "core/group/replica_config.h"
#include "store/replica_codec.h"

#include <optional>
#include <utility>

namespace fireflyroute::store {

struct RecoveredGroup
{
    core::RecoveredReplica state;
    // The journal's entries end before the snapshot or conflict with it, and were discarded. A log
    // reset must be written to the journal before the next entry.
    bool needsReset = false;
};

class GroupReplay
{
public:
    // `snapshot` is null if the group has none.
    explicit GroupReplay(core::SnapshotPtr snapshot)
        : snapshot_(std::move(snapshot))
    {}

    Result<void> add(const JournalRecord &record);
    [[nodiscard]] Result<RecoveredGroup> finish();

    // Index of the newest entry that was added.
    [[nodiscard]] std::optional<core::LogIndex> lastIndex() const;

private:
    Result<void> addEntry(core::LogEntry entry);

    core::SnapshotPtr snapshot_;
    core::HardState hardState_;
    std::vector<core::LogEntry> entries_; // contiguous
};

} // namespace fireflyroute::store

#endif
