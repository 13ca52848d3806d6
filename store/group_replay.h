// Rebuilds the state of one group from its journal records and its snapshot.
//
//   GroupReplay replay;
//   replay.add(record);                       // each record of the group, in journal order
//   Result<RecoveredGroup> group = replay.finish(snapshot);

#ifndef FIREFLYROUTE_STORE_GROUP_REPLAY_H
#define FIREFLYROUTE_STORE_GROUP_REPLAY_H

#include "core/group/replica_config.h"
#include "store/replica_codec.h"

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
    Result<void> add(const JournalRecord &record);
    [[nodiscard]] Result<RecoveredGroup> finish(core::SnapshotPtr snapshot);

private:
    Result<void> addEntry(core::LogEntry entry);

    core::HardState hardState_;
    std::vector<core::LogEntry> entries_; // contiguous
};

} // namespace fireflyroute::store

#endif
