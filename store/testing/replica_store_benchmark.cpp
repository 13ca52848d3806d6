// Measures the data folder: time to append and sync entries for several batch sizes, and time to
// open a folder with many entries. The folder is created in the temporary directory.

#include "store/replica_store.h"

#include <benchmark/benchmark.h>
#include <cstdlib>

using namespace fireflyroute;
using namespace fireflyroute::store;

namespace {

constexpr core::GroupId kGroup{1};
constexpr std::size_t kPayloadBytes = 200;

struct TemporaryFolder
{
    TemporaryFolder()
    {
        std::string pattern =
                (std::filesystem::temp_directory_path() / "replica-store-XXXXXX").string();
        path = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }

    Path path;
};

std::vector<core::LogEntry> makeEntries(core::LogIndex first, std::size_t count)
{
    std::vector<core::LogEntry> entries(count);
    for (std::size_t i = 0; i < count; ++i)
        entries[i] = core::LogEntry{.index = first + i,
                                    .term = 1,
                                    .kind = core::EntryKind::Command,
                                    .payload = std::string(kPayloadBytes, 'x')};
    return entries;
}

void appendAndSync(benchmark::State &state)
{
    const TemporaryFolder folder;
    const auto batchSize = static_cast<std::size_t>(state.range(0));
    ReplicaStore store = ReplicaStore::open(folder.path, core::Incarnation{1}).value();
    core::LogIndex nextIndex = 1;
    while (state.KeepRunning()) {
        const bool succeeded =
                store.writeEntries(kGroup, makeEntries(nextIndex, batchSize)).has_value()
                && store.sync().has_value();
        if (!succeeded)
            state.SkipWithError("write failed");
        nextIndex += batchSize;
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(nextIndex - 1));
}

void openFolder(benchmark::State &state)
{
    const TemporaryFolder folder;
    {
        ReplicaStore store = ReplicaStore::open(folder.path, core::Incarnation{1}).value();
        const auto count = static_cast<std::size_t>(state.range(0));
        const bool succeeded = store.writeEntries(kGroup, makeEntries(1, count)).has_value()
                               && store.sync().has_value();
        if (!succeeded)
            state.SkipWithError("write failed");
    }
    while (state.KeepRunning()) {
        ReplicaStore store = ReplicaStore::open(folder.path, core::Incarnation{1}).value();
        benchmark::DoNotOptimize(store.takeRecovered(kGroup));
    }
}

BENCHMARK(appendAndSync)->ArgName("batch")->Arg(1)->Arg(16)->Arg(256)->UseRealTime();
BENCHMARK(openFolder)
        ->ArgName("entries")
        ->Arg(1000)
        ->Arg(100'000)
        ->UseRealTime()
        ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
