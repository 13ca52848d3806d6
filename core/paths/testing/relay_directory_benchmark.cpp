// Measures the leader's CPU time for relay lists by the number of entries, in six data centres of
// two regions: for one probe, for an interval without changes, for an interval in which the
// isolation of one entry changed, and for one in which that of a whole data centre changed.

#include "core/paths/relay_directory.h"

#include <benchmark/benchmark.h>

using namespace fireflyroute::core;

namespace {

constexpr std::size_t kDataCentres = 6;
const Instant kStart{std::chrono::hours(1)};

class Site
{
public:
    explicit Site(std::size_t entries)
    {
        for (std::size_t i = 0; i < entries; ++i) {
            vms.emplace_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250));
            directory.recordConnected(vms.back(), dataCentre(i % kDataCentres));
            directory.recordProbe(vms.back(), false, kStart);
        }
        directory.expire(kStart);
        (void)directory.update();
    }

    static DataCentreId dataCentre(std::size_t number)
    {
        return DataCentreId(std::string(1, static_cast<char>('a' + number)));
    }

    // Changes the isolation of the first `count` entries of the first data centre.
    void toggle(std::size_t count)
    {
        isolated = !isolated;
        for (std::size_t i = 0; i < count && i * kDataCentres < vms.size(); ++i)
            directory.recordProbe(vms[i * kDataCentres], isolated, kStart);
    }

    RelayDirectory directory{{{dataCentre(0), "x"},
                              {dataCentre(1), "x"},
                              {dataCentre(2), "x"},
                              {dataCentre(3), "y"},
                              {dataCentre(4), "y"},
                              {dataCentre(5), "y"}},
                             std::chrono::seconds(2)};
    std::vector<VmId> vms;
    bool isolated = false;
};

void probe(benchmark::State &state)
{
    Site site(static_cast<std::size_t>(state.range(0)));
    std::size_t next = 0;
    while (state.KeepRunning())
        benchmark::DoNotOptimize(
                site.directory.recordProbe(site.vms[next++ % site.vms.size()], false, kStart));
}

void interval(benchmark::State &state, std::size_t changes)
{
    Site site(static_cast<std::size_t>(state.range(0)));
    std::size_t lists = 0;
    while (state.KeepRunning()) {
        site.toggle(changes);
        site.directory.expire(kStart);
        lists += site.directory.update().size();
    }
    state.counters["lists"] =
            benchmark::Counter(static_cast<double>(lists), benchmark::Counter::kAvgIterations);
}

BENCHMARK(probe)->Arg(80)->Arg(1700);
BENCHMARK_CAPTURE(interval, without_change, 0)->Arg(80)->Arg(1700)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(interval, one_entry, 1)->Arg(80)->Arg(1700)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(interval, data_centre, 10000)->Arg(80)->Arg(1700)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
