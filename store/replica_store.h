// The data folder: terms, votes, logs and snapshots of all replication groups of one VM.
//
//   Result<ReplicaStore> store = ReplicaStore::open(folder, newIncarnation);
//   core::RecoveredReplica recovered = store.value().takeRecovered(group);
//   store.value().writeHardState(group, hardState);
//   store.value().writeEntries(group, entries);
//   store.value().sync();                             // one sync for all groups
//
// Implements the storage actions of core/group/replica_actions.h: writeHardState() is
// WriteHardState, writeEntries() WriteEntries, saveSnapshot() TakeSnapshot and installSnapshot()
// InstallSnapshot. Written hard states and entries are durable after sync(), which is reported as
// SyncCompleted. Both snapshot calls are durable when they return, together with everything written
// before. After any failure the process has to stop.
//
// Files: `lock`; `identity`, which contains the incarnation of the folder; `journal-N`, the
// segments of one journal; `snapshot-GROUP-INDEX`. A segment is removed once snapshots cover all
// its entries.

#ifndef FIREFLYROUTE_STORE_REPLICA_STORE_H
#define FIREFLYROUTE_STORE_REPLICA_STORE_H

#include "store/folder_names.h"
#include "store/group_replay.h"
#include "store/journal.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>

namespace fireflyroute::store {

struct StoreLimits
{
    // A new segment starts once the current one exceeds this size.
    std::uint64_t segmentBytes = 64U << 20U;
    // Entries that wait to be written are written before others are added to them, once they exceed
    // this size.
    std::uint64_t frameBytes = 4U << 20U;
};

template<Files F>
class BasicReplicaStore
{
public:
    // Opens the data folder, which must exist, and creates missing files in it. A folder without an
    // identity file gets the incarnation `newIncarnation`, which must be greater than all earlier
    // incarnations of the VM.
    static Result<BasicReplicaStore> open(const Path &folder, core::Incarnation newIncarnation,
                                          StoreLimits limits = {}, F files = F())
    {
        BOOST_OUTCOME_TRY(lock, files.open(folder / "lock"));
        BOOST_OUTCOME_TRYV(files.lock(lock));
        BasicReplicaStore store(folder, limits, std::move(files), std::move(lock));
        BOOST_OUTCOME_TRYV(store.loadIdentity(newIncarnation));
        BOOST_OUTCOME_TRYV(store.recoverSnapshots());
        BOOST_OUTCOME_TRYV(store.recoverJournal());
        return store;
    }

    [[nodiscard]] core::Incarnation incarnation() const { return incarnation_; }

    // Moves out the state of a group that was on disk when the folder was opened. Empty for an
    // unknown group.
    [[nodiscard]] core::RecoveredReplica takeRecovered(core::GroupId group)
    {
        return std::exchange(groups_[group].recovered, {});
    }

    Result<void> writeHardState(core::GroupId group, const core::HardState &state)
    {
        groups_[group].hardState = state;
        return journal_->append(encodeHardState(group, state));
    }

    // Writes entries. They replace all entries of the group from the first entry's index on.
    Result<void> writeEntries(core::GroupId group, const std::vector<core::LogEntry> &entries)
    {
        if (journal_->unsyncedBytes() > limits_.frameBytes) {
            BOOST_OUTCOME_TRYV(sync());
        }
        for (const core::LogEntry &entry : entries) {
            BOOST_OUTCOME_TRYV(journal_->append(encodeEntry(group, entry)));
            recordEntry(segments_.back(), group, entry.index);
        }
        return core::outcome::success();
    }

    // Waits until everything written is on disk.
    Result<void> sync()
    {
        BOOST_OUTCOME_TRYV(journal_->sync());
        if (journal_->syncedBytes() > limits_.segmentBytes)
            return startSegment();
        return core::outcome::success();
    }

    // Stores a snapshot of the group's own state. Entries after the snapshot are kept.
    Result<void> saveSnapshot(core::GroupId group, const core::Snapshot &snapshot)
    {
        BOOST_OUTCOME_TRYV(sync());
        BOOST_OUTCOME_TRYV(writeSnapshotFile(group, snapshot));
        return removeCoveredSegments();
    }

    // Stores a snapshot that replaces the group's complete log.
    Result<void> installSnapshot(core::GroupId group, const core::Snapshot &snapshot)
    {
        BOOST_OUTCOME_TRYV(sync());
        BOOST_OUTCOME_TRYV(writeSnapshotFile(group, snapshot));
        BOOST_OUTCOME_TRYV(journal_->append(encodeReset(group, LogReset{snapshot.meta.index})));
        BOOST_OUTCOME_TRYV(sync());
        return removeCoveredSegments();
    }

    [[nodiscard]] std::size_t segmentCount() const { return segments_.size(); }

private:
    struct Group
    {
        core::HardState hardState; // as last written
        core::LogIndex snapshotIndex = 0; // of the newest snapshot file
        core::RecoveredReplica recovered;
    };

    struct Segment
    {
        std::uint64_t number = 0;
        // Largest index of each group in the segment.
        std::map<core::GroupId, core::LogIndex> lastEntries;
    };

    BasicReplicaStore(Path folder, StoreLimits limits, F files, typename F::Handle lock)
        : folder_(std::move(folder))
        , limits_(limits)
        , files_(std::move(files))
        , lock_(std::move(lock))
    {}

    void recordEntry(Segment &segment, core::GroupId group, core::LogIndex index)
    {
        groups_.try_emplace(group);
        core::LogIndex &lastEntry = segment.lastEntries[group];
        lastEntry = std::max(lastEntry, index);
    }

    // Writes a file atomically: after a crash it is either complete or absent.
    Result<void> writeFileAtomically(const std::string &name, const std::string &bytes)
    {
        const Path temporary = folder_ / (name + std::string(kTemporarySuffix));
        BOOST_OUTCOME_TRYV(files_.remove(temporary));
        BOOST_OUTCOME_TRY(handle, files_.open(temporary));
        BOOST_OUTCOME_TRYV(files_.append(handle, bytes));
        BOOST_OUTCOME_TRYV(files_.sync(handle));
        BOOST_OUTCOME_TRYV(files_.rename(temporary, folder_ / name));
        return files_.syncFolder(folder_);
    }

    Result<void> loadIdentity(core::Incarnation newIncarnation)
    {
        BOOST_OUTCOME_TRY(names, files_.list(folder_));
        const bool hasIdentity =
                std::find(names.begin(), names.end(), kIdentityName) != names.end();
        if (!hasIdentity) {
            incarnation_ = newIncarnation;
            return writeFileAtomically(std::string(kIdentityName), encodeIdentity(newIncarnation));
        }
        BOOST_OUTCOME_TRY(bytes, files_.readAll(folder_ / kIdentityName));
        BOOST_OUTCOME_TRY(storedIncarnation, decodeIdentity(bytes));
        incarnation_ = storedIncarnation;
        return core::outcome::success();
    }

    // Loads the newest snapshot of each group, and removes temporary files and older snapshots that
    // an interrupted run left behind.
    Result<void> recoverSnapshots()
    {
        BOOST_OUTCOME_TRY(names, files_.list(folder_));
        for (const std::string &name : names) {
            if (name.ends_with(kTemporarySuffix)) {
                BOOST_OUTCOME_TRYV(files_.remove(folder_ / name));
                continue;
            }
            const std::optional<SnapshotName> parsed = parseSnapshotName(name);
            if (!parsed)
                continue;
            core::LogIndex &newest = groups_[parsed->group].snapshotIndex;
            newest = std::max(newest, parsed->index);
        }
        for (auto &[id, group] : groups_) {
            const std::string name = snapshotName({id, group.snapshotIndex});
            BOOST_OUTCOME_TRY(bytes, files_.readAll(folder_ / name));
            BOOST_OUTCOME_TRY(snapshot, decodeSnapshot(bytes, name));
            group.recovered.snapshot = std::make_shared<const core::Snapshot>(std::move(snapshot));
        }
        return removeOldSnapshots(names);
    }

    Result<void> removeOldSnapshots(const std::vector<std::string> &names)
    {
        for (const std::string &name : names) {
            const std::optional<SnapshotName> parsed = parseSnapshotName(name);
            const bool isSuperseded =
                    parsed && parsed->index < groups_[parsed->group].snapshotIndex;
            if (isSuperseded) {
                BOOST_OUTCOME_TRYV(files_.remove(folder_ / name));
            }
        }
        return core::outcome::success();
    }

    Result<void> recoverJournal()
    {
        BOOST_OUTCOME_TRY(names, files_.list(folder_));
        BOOST_OUTCOME_TRY(numbers, segmentNumbers(names));
        if (numbers.empty())
            numbers.push_back(1);
        std::map<core::GroupId, GroupReplay> replays;
        Result<void> replayed = core::outcome::success();
        const RecordHandler onRecord = [&](const JournalRecord &record) {
            if (replayed)
                replayed = replayRecord(record, replays);
        };
        for (const std::uint64_t number : numbers) {
            segments_.push_back(Segment{number, {}});
            BOOST_OUTCOME_TRYV(openSegment(number, number == numbers.back(), onRecord));
            BOOST_OUTCOME_TRYV(std::as_const(replayed));
        }
        return finishReplays(replays);
    }

    Result<void> openSegment(std::uint64_t number, bool isLast, const RecordHandler &onRecord)
    {
        const Path path = folder_ / segmentName(number);
        if (!isLast)
            return BasicJournal<F>::replaySealed(path, onRecord, files_);
        BOOST_OUTCOME_TRY(journal, BasicJournal<F>::open(path, onRecord, files_));
        journal_.emplace(std::move(journal));
        return core::outcome::success();
    }

    Result<void> replayRecord(const JournalRecord &record,
                              std::map<core::GroupId, GroupReplay> &replays)
    {
        const std::optional<core::GroupId> group = decodeGroup(record);
        if (!group)
            return StoreFailure{StoreError::Corrupt, "record without a group number"};
        GroupReplay &replay =
                replays.try_emplace(*group, groups_[*group].recovered.snapshot).first->second;
        BOOST_OUTCOME_TRYV(replay.add(record));
        if (record.type == RecordType::Entry)
            recordEntry(segments_.back(), *group, *replay.lastIndex());
        return core::outcome::success();
    }

    Result<void> finishReplays(std::map<core::GroupId, GroupReplay> &replays)
    {
        for (auto &[id, replay] : replays) {
            Group &group = groups_[id];
            BOOST_OUTCOME_TRY(recovered, replay.finish());
            group.recovered = std::move(recovered.state);
            group.hardState = group.recovered.hardState;
            if (recovered.needsReset) {
                BOOST_OUTCOME_TRYV(journal_->append(encodeReset(id, {group.snapshotIndex})));
            }
        }
        return journal_->sync();
    }

    // Starts a new segment. It begins with the hard state of every group, so that no older segment
    // is needed for the hard states.
    Result<void> startSegment()
    {
        const std::uint64_t number = segments_.back().number + 1;
        BOOST_OUTCOME_TRYV(openSegment(number, true, [](const JournalRecord &) {}));
        segments_.push_back(Segment{number, {}});
        for (const auto &[id, group] : groups_) {
            BOOST_OUTCOME_TRYV(journal_->append(encodeHardState(id, group.hardState)));
        }
        BOOST_OUTCOME_TRYV(journal_->sync());
        return removeCoveredSegments();
    }

    Result<void> writeSnapshotFile(core::GroupId group, const core::Snapshot &snapshot)
    {
        const SnapshotName name{group, snapshot.meta.index};
        const SnapshotName previous{group, groups_[group].snapshotIndex};
        BOOST_OUTCOME_TRYV(writeFileAtomically(snapshotName(name), encodeSnapshot(snapshot)));
        groups_[group].snapshotIndex = name.index;
        if (previous.index == 0 || previous.index == name.index)
            return core::outcome::success();
        return files_.remove(folder_ / snapshotName(previous));
    }

    [[nodiscard]] bool isCovered(const Segment &segment) const
    {
        return std::all_of(segment.lastEntries.begin(), segment.lastEntries.end(),
                           [&](const auto &lastEntry) {
                               return lastEntry.second <= groups_.at(lastEntry.first).snapshotIndex;
                           });
    }

    // Removes the oldest segments, up to the first one with an entry that no snapshot covers.
    Result<void> removeCoveredSegments()
    {
        while (segments_.size() > 1 && isCovered(segments_.front())) {
            BOOST_OUTCOME_TRYV(files_.remove(folder_ / segmentName(segments_.front().number)));
            BOOST_OUTCOME_TRYV(files_.syncFolder(folder_));
            segments_.erase(segments_.begin());
        }
        return core::outcome::success();
    }

    Path folder_;
    StoreLimits limits_;
    F files_;
    typename F::Handle lock_;
    core::Incarnation incarnation_{0};
    std::optional<BasicJournal<F>> journal_; // the last segment; always set after open()
    std::vector<Segment> segments_; // in ascending order; never empty after open()
    std::map<core::GroupId, Group> groups_;
};

using ReplicaStore = BasicReplicaStore<PosixFiles>;

} // namespace fireflyroute::store

#endif
