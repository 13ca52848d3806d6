// Cost of one endpoint choice for the current fleet size, a tenth of the target size, and the
// target size. It should not depend on the number of endpoints and be at most 5 us.

#include "core/balancing/endpoint_choice.h"

#include <benchmark/benchmark.h>
#include <string>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const ModelVersion kVersion{ModelName("m"), VersionName("1")};
constexpr std::uint64_t kSeed = 20261204;
constexpr int kDataCentres = 6;
constexpr int kPrompts = 256;

EndpointAnnouncement announcement(int number)
{
    EndpointAnnouncement result;
    result.id = EndpointId("endpoint-" + std::to_string(number));
    result.phase = EndpointPhase::Ready;
    const int dataCentre = number % kDataCentres;
    result.dataCentre =
            DataCentreId((dataCentre < 3 ? "west/" : "east/") + std::to_string(dataCentre));
    result.versions = {kVersion};
    result.load.running = static_cast<std::uint32_t>(number % 7);
    return result;
}

void chooseEndpoint(benchmark::State &state)
{
    Directory directory(30s);
    const int count = static_cast<int>(state.range(0));
    for (int number = 0; number < count; ++number)
        directory.announce(announcement(number), 0ms, kStart);
    const EndpointIndex index(directory.view(kStart), DataCentreId("west/0"), distanceByName);
    LoadEstimator loadEstimator(200ms);
    PrefixCache prefixCache(kPrefixCapacity);
    std::mt19937_64 rng(kSeed);
    std::vector<EndpointChoiceRequest> requests;
    for (int i = 0; i < kPrompts; ++i) {
        EndpointChoiceRequest request{
                .target = kVersion, .promptTokens = 1000, .transferBytes = 8000};
        request.prefixes = prefixHashes(std::string(4096, static_cast<char>(i)));
        const int holder = static_cast<int>(rng() % static_cast<std::uint64_t>(count));
        prefixCache.observe(announcement(holder).id, request.prefixes, kStart);
        requests.push_back(request);
    }
    EndpointChooser<> chooser(8);
    const auto anyEndpoint = [](const EndpointState &) { return true; };
    std::size_t next = 0;
    while (state.KeepRunning()) {
        const EndpointChoiceRequest &request = requests[next++ % requests.size()];
        auto chosen = chooser.choose(index, request, loadEstimator, prefixCache, anyEndpoint, rng,
                                     kStart);
        benchmark::DoNotOptimize(chosen);
        loadEstimator.recordStart(chosen.value().id, kStart);
        loadEstimator.recordFinish(chosen.value().id, kStart);
    }
}

} // namespace

BENCHMARK(chooseEndpoint)->Arg(12)->Arg(500)->Arg(5400);

BENCHMARK_MAIN();
