// Measures the size and the encoding and decoding time of replica messages as JSON text: an empty
// heartbeat, and 16 entries of 200 bytes.

#include "net/replication_json.h"
#include "net/text_json.h"

#include <benchmark/benchmark.h>

using namespace fireflyroute::net;
namespace core = fireflyroute::core;

namespace {

core::ReplicaMessage makeRequest(std::size_t entries)
{
    constexpr std::size_t kPayloadBytes = 200;
    core::AppendRequest request{1'000'000, 12, {}, 1'000'000, 5'000'000};
    for (std::size_t i = 0; i < entries; ++i)
        request.entries.push_back(core::LogEntry{.index = 1'000'001 + i,
                                                 .term = 12,
                                                 .kind = core::EntryKind::Command,
                                                 .payload = std::string(kPayloadBytes, 'x')});
    return core::ReplicaMessage{core::GroupId{1},
                                {core::VmId("nairobi-1"), core::Incarnation{1'790'000'000'000}},
                                {core::VmId("mombasa-1"), core::Incarnation{1'790'000'000'000}},
                                12,
                                std::move(request)};
}

void encodeRequest(benchmark::State &state)
{
    const core::ReplicaMessage message = makeRequest(static_cast<std::size_t>(state.range(0)));
    std::size_t bytes = 0;
    while (state.KeepRunning())
        bytes = writeJson(toJson(message)).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}

void decodeRequest(benchmark::State &state)
{
    const std::string text =
            writeJson(toJson(makeRequest(static_cast<std::size_t>(state.range(0)))));
    while (state.KeepRunning())
        benchmark::DoNotOptimize(readReplicaMessage(parseJson(text).value()));
    state.counters["bytes"] = static_cast<double>(text.size());
}

BENCHMARK(encodeRequest)->ArgName("entries")->Arg(0)->Arg(16);
BENCHMARK(decodeRequest)->ArgName("entries")->Arg(0)->Arg(16);

} // namespace

BENCHMARK_MAIN();
