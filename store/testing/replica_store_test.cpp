// The data folder across restarts, with a stop or a failure injected at every single change of the
// disk.

#define BOOST_TEST_MODULE replica_store
#include "store/replica_store.h"
#include "store/testing/fake_files.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute;
using namespace fireflyroute::store;

namespace {

using FakeStore = BasicReplicaStore<FakeFiles>;

const Path kFolder = "/data";
constexpr core::Incarnation kFirstIncarnation{7};
constexpr core::Incarnation kLaterIncarnation{8};
constexpr std::uint32_t kGroupCount = 2;
constexpr core::Term kContinuationTerm = 1'000'000; // greater than all terms of the workload
constexpr std::uint64_t kCrashesPerChange = 8; // each keeps another part of the unsynced bytes
constexpr StoreLimits kSmallSegments{.segmentBytes = 600, .frameBytes = 200};

// State of a group: either recovered from the store, or expected by the workload, which applies the
// same operations to it as to the store.
struct GroupState
{
    core::HardState hardState;
    core::LogIndex snapshotIndex = 0;
    std::map<core::LogIndex, core::LogEntry> entries;

    bool operator==(const GroupState &) const = default;
};

using GroupStates = std::map<core::GroupId, GroupState>;

core::LogEntry makeEntry(core::LogIndex index, core::Term term)
{
    return core::LogEntry{.index = index,
                          .term = term,
                          .kind = core::EntryKind::Command,
                          .payload = std::string(20, static_cast<char>('a' + term % 26))};
}

core::Snapshot makeSnapshot(core::LogIndex index, core::Term term)
{
    return core::Snapshot{{index, term, {}}, "state " + std::to_string(index)};
}

// Runs random operations on a store and on the expected states until the store fails.
class Workload
{
public:
    Workload(FakeFiles files, std::uint64_t seed)
        : files_(std::move(files))
        , rng_(seed)
    {}

    void run(std::size_t operations)
    {
        Result<FakeStore> opened =
                FakeStore::open(kFolder, kFirstIncarnation, kSmallSegments, files_);
        if (!opened)
            return;
        FakeStore store = std::move(opened).value();
        for (std::size_t i = 0; i < operations; ++i) {
            if (!runRandomOperation(store))
                return;
        }
    }

    GroupStates syncedState; // guaranteed to be on disk
    std::vector<GroupStates> unsyncedStates; // states that may be on disk instead, oldest first

private:
    bool runRandomOperation(FakeStore &store)
    {
        const core::GroupId group{static_cast<std::uint32_t>(rng_() % kGroupCount)};
        switch (rng_() % 8) {
        case 0:
            return writeVote(store, group);
        case 1:
        case 2:
        case 3:
            return writeEntries(store, group);
        case 4:
            return saveSnapshot(store, group);
        case 5:
            return rng_() % 4 != 0 || installSnapshot(store, group);
        default:
            return recordSyncResult(store.sync().has_value());
        }
    }

    bool writeVote(FakeStore &store, core::GroupId group)
    {
        GroupState &expectedGroup = current_[group];
        ++expectedGroup.hardState.term;
        expectedGroup.hardState.votedFor = core::ReplicaId{core::VmId("vm1"), core::Incarnation{1}};
        return store.writeHardState(group, expectedGroup.hardState).has_value();
    }

    bool writeEntries(FakeStore &store, core::GroupId group)
    {
        GroupState &expectedGroup = current_[group];
        unsyncedStates.push_back(current_); // what waits is written first if it is large
        const core::LogIndex last = expectedGroup.entries.empty()
                                            ? expectedGroup.snapshotIndex
                                            : expectedGroup.entries.rbegin()->first;
        const core::LogIndex lastKept =
                last > expectedGroup.snapshotIndex ? last - rng_() % 2 : last;
        const core::LogIndex first = std::max(lastKept, expectedGroup.snapshotIndex) + 1;
        std::vector<core::LogEntry> entries;
        for (core::LogIndex index = first; index < first + 3; ++index)
            entries.push_back(makeEntry(index, ++term_));
        expectedGroup.entries.erase(expectedGroup.entries.lower_bound(first),
                                    expectedGroup.entries.end());
        for (const core::LogEntry &entry : entries)
            expectedGroup.entries[entry.index] = entry;
        return store.writeEntries(group, entries).has_value();
    }

    bool saveSnapshot(FakeStore &store, core::GroupId group)
    {
        GroupState &expectedGroup = current_[group];
        if (expectedGroup.entries.empty())
            return true;
        unsyncedStates.push_back(current_); // the journal is synced before the snapshot is written
        const auto lastCovered =
                std::next(expectedGroup.entries.begin(),
                          static_cast<std::ptrdiff_t>(rng_() % expectedGroup.entries.size()));
        const core::LogEntry last = lastCovered->second;
        expectedGroup.snapshotIndex = last.index;
        expectedGroup.entries.erase(expectedGroup.entries.begin(), std::next(lastCovered));
        return recordSyncResult(
                store.saveSnapshot(group, makeSnapshot(last.index, last.term)).has_value());
    }

    bool installSnapshot(FakeStore &store, core::GroupId group)
    {
        GroupState &expectedGroup = current_[group];
        unsyncedStates.push_back(current_);
        const core::LogIndex last = expectedGroup.entries.empty()
                                            ? expectedGroup.snapshotIndex
                                            : expectedGroup.entries.rbegin()->first;
        const core::LogIndex span = last - expectedGroup.snapshotIndex;
        const core::LogIndex index = expectedGroup.snapshotIndex + 1 + rng_() % (span + 5);
        expectedGroup.snapshotIndex = index;
        expectedGroup.entries.clear();
        return recordSyncResult(
                store.installSnapshot(group, makeSnapshot(index, ++term_)).has_value());
    }

    bool recordSyncResult(bool succeeded)
    {
        unsyncedStates.push_back(current_);
        if (!succeeded)
            return false;
        syncedState = current_;
        unsyncedStates.clear();
        return true;
    }

    FakeFiles files_;
    std::mt19937_64 rng_;
    GroupStates current_;
    core::Term term_ = 0;
};

GroupState recoveredGroup(FakeStore &store, core::GroupId group)
{
    const core::RecoveredReplica recovered = store.takeRecovered(group);
    GroupState state;
    state.hardState = recovered.hardState;
    if (recovered.snapshot) {
        state.snapshotIndex = recovered.snapshot->meta.index;
        BOOST_TEST(recovered.snapshot->data == "state " + std::to_string(state.snapshotIndex));
    }
    for (const core::LogEntry &entry : recovered.entries)
        state.entries[entry.index] = entry;
    return state;
}

GroupStates recoveredGroups(FakeStore &store)
{
    GroupStates states;
    for (std::uint32_t number = 0; number < kGroupCount; ++number)
        states[core::GroupId{number}] = recoveredGroup(store, core::GroupId{number});
    return states;
}

// Opens the folder after a crash. It must contain the synced state or a state that was written
// later.
void checkRecovery(const FakeFiles &files, const Workload &workload, const std::string &context)
{
    Result<FakeStore> opened = FakeStore::open(kFolder, kLaterIncarnation, kSmallSegments, files);
    const std::string problem = opened ? "" : opened.error().detail;
    BOOST_TEST_REQUIRE(opened.has_value(), context << ": " << problem);
    const auto matches = [&](const GroupStates &expected, const GroupStates &actual) {
        return std::all_of(actual.begin(), actual.end(), [&](const auto &item) {
            const auto found = expected.find(item.first);
            return (found == expected.end() ? GroupState{} : found->second) == item.second;
        });
    };
    const GroupStates actual = recoveredGroups(opened.value());
    bool matchesExpectedState = matches(workload.syncedState, actual);
    for (const GroupStates &state : workload.unsyncedStates)
        matchesExpectedState = matchesExpectedState || matches(state, actual);
    BOOST_TEST(matchesExpectedState,
               context << ": recovered neither the synced state nor a later one");
}

// Writes further entries to the recovered groups and checks that the next opening recovers all of
// them.
void checkContinuation(const FakeFiles &files, const std::string &context)
{
    GroupStates expected;
    {
        FakeStore store =
                FakeStore::open(kFolder, kLaterIncarnation, kSmallSegments, files).value();
        expected = recoveredGroups(store);
        for (auto &[group, expectedGroup] : expected) {
            const core::LogIndex last = expectedGroup.entries.empty()
                                                ? expectedGroup.snapshotIndex
                                                : expectedGroup.entries.rbegin()->first;
            const core::LogEntry entry = makeEntry(last + 1, kContinuationTerm);
            expectedGroup.entries[entry.index] = entry;
            BOOST_TEST(store.writeEntries(group, {entry}).has_value());
        }
        BOOST_TEST(store.sync().has_value());
    }
    Result<FakeStore> opened = FakeStore::open(kFolder, kLaterIncarnation, kSmallSegments, files);
    const std::string problem = opened ? "" : opened.error().detail;
    BOOST_TEST_REQUIRE(opened.has_value(), context << " continued: " << problem);
    BOOST_TEST((recoveredGroups(opened.value()) == expected), context << " continued");
}

enum class Injection { Stop, Failure };

// Returns the number of disk changes of the workload without an injected fault.
std::uint64_t countChanges(std::uint64_t seed, std::size_t operations)
{
    const FakeFiles files;
    Workload(files, seed).run(operations);
    return files.state->changes;
}

void injectAtEveryChange(Injection injection, std::uint64_t seed)
{
    constexpr std::size_t kOperations = 60;
    const std::uint64_t changes = countChanges(seed, kOperations);
    BOOST_TEST(changes > kOperations);
    for (std::uint64_t changeNumber = 1; changeNumber <= changes + 1; ++changeNumber) {
        for (std::uint64_t crashSeed = 0; crashSeed < kCrashesPerChange; ++crashSeed) {
            const FakeFiles files;
            (injection == Injection::Stop ? files.state->stopAt : files.state->failAt) =
                    changeNumber;
            Workload workload(files, seed);
            workload.run(kOperations);
            std::mt19937_64 rng(crashSeed);
            files.state->crash(rng);
            const std::string context = "seed " + std::to_string(seed) + " change "
                                        + std::to_string(changeNumber) + " crash "
                                        + std::to_string(crashSeed);
            checkRecovery(files, workload, context);
            checkRecovery(files, workload, context + " opened again");
            checkContinuation(files, context);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(stop_at_any_change_keeps_synced_state)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
        injectAtEveryChange(Injection::Stop, seed);
}

BOOST_AUTO_TEST_CASE(failure_at_any_change_stops_the_store_and_keeps_synced_state)
{
    for (std::uint64_t seed = 11; seed <= 16; ++seed)
        injectAtEveryChange(Injection::Failure, seed);
}

BOOST_AUTO_TEST_CASE(store_rejects_all_writes_after_a_failed_sync)
{
    const FakeFiles files;
    FakeStore store = FakeStore::open(kFolder, kFirstIncarnation, {}, files).value();
    BOOST_TEST(store.writeEntries(core::GroupId{1}, {makeEntry(1, 1)}).has_value());
    files.state->failAt = files.state->changes + 2; // the sync that follows the write
    BOOST_TEST(!store.sync().has_value());
    BOOST_TEST(!store.writeEntries(core::GroupId{1}, {makeEntry(2, 1)}).has_value());
    BOOST_TEST(!store.sync().has_value());
}

BOOST_AUTO_TEST_CASE(segments_covered_by_snapshots_are_removed)
{
    const FakeFiles files;
    FakeStore store = FakeStore::open(kFolder, kFirstIncarnation, kSmallSegments, files).value();
    const core::GroupId group{1};
    for (core::LogIndex index = 1; index <= 200; ++index) {
        BOOST_TEST(store.writeEntries(group, {makeEntry(index, 1)}).has_value());
        BOOST_TEST(store.sync().has_value());
    }
    BOOST_TEST(store.segmentCount() > 5U);
    BOOST_TEST(store.saveSnapshot(group, makeSnapshot(200, 1)).has_value());
    BOOST_TEST(store.segmentCount() == 1U);
}

// Guards against batches of large entries that are in memory as a whole, as records and as a frame.
BOOST_AUTO_TEST_CASE(large_entries_are_written_before_others_are_added)
{
    const FakeFiles files;
    FakeStore store = FakeStore::open(kFolder, kFirstIncarnation, kSmallSegments, files).value();
    const core::GroupId group{0};
    for (core::LogIndex index = 1; index <= 20; ++index)
        BOOST_TEST(store.writeEntries(group, {makeEntry(index, 1)}).has_value());
    BOOST_TEST(store.segmentCount() > 1U);
    std::mt19937_64 rng(1);
    files.state->crash(rng);
    FakeStore reopened = FakeStore::open(kFolder, kLaterIncarnation, kSmallSegments, files).value();
    BOOST_TEST(recoveredGroup(reopened, group).entries.size() >= 16U);
}

BOOST_AUTO_TEST_CASE(data_folder_keeps_its_incarnation_and_a_new_folder_gets_a_new_one)
{
    const FakeFiles files;
    BOOST_TEST((FakeStore::open(kFolder, kFirstIncarnation, {}, files).value().incarnation()
                == kFirstIncarnation));
    BOOST_TEST((FakeStore::open(kFolder, kLaterIncarnation, {}, files).value().incarnation()
                == kFirstIncarnation));
    BOOST_TEST((FakeStore::open(kFolder, kLaterIncarnation, {}, FakeFiles()).value().incarnation()
                == kLaterIncarnation));
}

BOOST_AUTO_TEST_CASE(missing_segment_and_damaged_snapshot_are_rejected)
{
    const FakeFiles files;
    {
        FakeStore store =
                FakeStore::open(kFolder, kFirstIncarnation, kSmallSegments, files).value();
        for (core::LogIndex index = 1; index <= 60; ++index) {
            BOOST_TEST(store.writeEntries(core::GroupId{1}, {makeEntry(index, 1)}).has_value());
            BOOST_TEST(store.sync().has_value());
        }
        BOOST_TEST(store.saveSnapshot(core::GroupId{2}, makeSnapshot(5, 1)).has_value());
    }
    const auto isCorruptWithout = [&](const std::string &name) {
        const FakeFilesState::Names names = files.state->names;
        files.state->names.erase((kFolder / name).string());
        const Result<FakeStore> opened = FakeStore::open(kFolder, kFirstIncarnation, {}, files);
        files.state->names = names;
        return !opened && opened.error().code == StoreError::Corrupt;
    };
    BOOST_TEST(isCorruptWithout(segmentName(1)));
    BOOST_TEST(isCorruptWithout(segmentName(2)));
    const Path snapshot = kFolder / snapshotName({core::GroupId{2}, 5});
    files.state->names.at(snapshot.string())->content.back() ^= 1;
    const Result<FakeStore> opened = FakeStore::open(kFolder, kFirstIncarnation, {}, files);
    BOOST_TEST((!opened && opened.error().code == StoreError::Corrupt));
}
