// Replay of hard states, entries and log resets.

#include "store/group_replay.h"

#include <fmt/format.h>
#include <utility>

namespace fireflyroute::store {

namespace {

StoreFailure corrupt(std::string detail)
{
    return StoreFailure{StoreError::Corrupt, std::move(detail)};
}

} // namespace

Result<void> GroupReplay::add(const JournalRecord &record)
{
    if (record.type == RecordType::HardState) {
        const std::optional<core::HardState> state = decodeHardState(record);
        if (!state)
            return corrupt("malformed hard state record");
        hardState_ = *state;
        return core::outcome::success();
    }
    if (record.type == RecordType::LogReset) {
        if (!decodeReset(record))
            return corrupt("malformed log reset record");
        entries_.clear();
        return core::outcome::success();
    }
    std::optional<core::LogEntry> entry;
    if (record.type == RecordType::Entry)
        entry = decodeEntry(record);
    if (!entry)
        return corrupt("malformed or unknown record");
    return addEntry(std::move(*entry));
}

// An entry replaces the entry with the same index and removes all later entries.
Result<void> GroupReplay::addEntry(core::LogEntry entry)
{
    if (!entries_.empty()) {
        const core::LogIndex first = entries_.front().index;
        const core::LogIndex last = entries_.back().index;
        if (entry.index > last + 1)
            return corrupt(fmt::format("entry {} follows entry {}", entry.index, last));
        const bool replacesAll = entry.index < first;
        entries_.resize(replacesAll ? 0 : entry.index - first);
    }
    if (snapshot_ && entry.index <= snapshot_->meta.index) {
        entry.payload = {};
        entry.membership = {};
    }
    entries_.push_back(std::move(entry));
    return core::outcome::success();
}

std::optional<core::LogIndex> GroupReplay::lastIndex() const
{
    return entries_.empty() ? std::nullopt : std::optional(entries_.back().index);
}

Result<RecoveredGroup> GroupReplay::finish()
{
    RecoveredGroup group;
    group.state.hardState = std::move(hardState_);
    group.state.snapshot = snapshot_;
    if (entries_.empty())
        return group;
    const core::SnapshotMeta snapshotMeta =
            group.state.snapshot ? group.state.snapshot->meta : core::SnapshotMeta{};
    const core::LogIndex first = entries_.front().index;
    if (first > snapshotMeta.index + 1)
        return corrupt(
                fmt::format("entries {} to {} are missing", snapshotMeta.index + 1, first - 1));
    if (entries_.back().index < snapshotMeta.index) {
        group.needsReset = true;
        return group;
    }
    const bool conflictsWithSnapshot =
            first <= snapshotMeta.index
            && entries_[snapshotMeta.index - first].term != snapshotMeta.term;
    if (conflictsWithSnapshot) {
        group.needsReset = true;
        return group;
    }
    const auto firstUncovered = static_cast<std::ptrdiff_t>(snapshotMeta.index + 1 - first);
    group.state.entries.assign(std::make_move_iterator(entries_.begin() + firstUncovered),
                               std::make_move_iterator(entries_.end()));
    return group;
}

} // namespace fireflyroute::store
