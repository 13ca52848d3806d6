// Plays the model of a large fleet under load and shows its results as counters. Arguments:
// requests per second, number of entries, candidates drawn for each request.
//
//   core_fleet_load_benchmark --benchmark_filter='fleetLoad/2000/295/4'

#include "core/balancing/testing/fleet_load_model.h"

#include <benchmark/benchmark.h>

namespace {

using namespace fireflyroute::core;

void fleetLoad(benchmark::State &state)
{
    FleetLoad load;
    load.requestsPerSecond = static_cast<double>(state.range(0));
    load.entries = static_cast<int>(state.range(1));
    load.weights.drawnCandidates = static_cast<std::size_t>(state.range(2));
    FleetLoadResult result;
    for ([[maybe_unused]] const auto step : state)
        result = playFleetLoad(load);
    state.counters["rejected"] = result.rejected;
    state.counters["lost"] = result.lost;
    state.counters["first_ms"] = result.meanFirstMs;
    state.counters["late_share"] = result.lateShare;
    state.counters["busiest"] = static_cast<double>(result.busiest);
    state.counters["mean_load"] = result.meanLoad;
    state.counters["remote"] = result.remote;
}

BENCHMARK(fleetLoad)
        ->ArgsProduct({{960, 1500, 2000, 2400}, {8, 80, 295}, {2, 4, 1000}})
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
