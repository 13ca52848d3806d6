// Cost of one version choice with 25 versions and a short list of exceptions.

#include "core/quality/quality_table.h"
#include "core/versions/exposure.h"
#include "core/versions/version_choice.h"

#include <benchmark/benchmark.h>
#include <string>

using namespace fireflyroute::core;

namespace {

constexpr int kModels = 5;
constexpr int kVersions = 5;
constexpr int kExceptions = 20;

struct AllReady
{
    [[nodiscard]] bool isReady(const ModelVersion &) const { return true; }
};

FleetConfig largeConfig()
{
    FleetConfig config;
    ClientAccount account{.id = ClientAccountId("duka")};
    for (int model = 0; model < kModels; ++model) {
        ModelSpec spec{.name = ModelName("model-" + std::to_string(model)),
                       .stable = VersionName("0")};
        for (int version = 0; version < kVersions; ++version) {
            spec.versions.push_back(
                    VersionSpec{.name = VersionName(std::to_string(version)),
                                .outputCostPerKiloToken = MicroCost{1000} * (model + 1),
                                .expectedQuality = 0.7 + 0.05 * model});
        }
        spec.rollout =
                Rollout{.from = VersionName("0"), .to = VersionName("1"), .stagesPermille = {100}};
        account.allowed.push_back(ModelPermission{spec.name});
        config.models.push_back(std::move(spec));
    }
    for (int number = 0; number < kExceptions; ++number) {
        config.exceptions.push_back(ConfigException{.id = ExceptionId(std::to_string(number)),
                                                    .account = ClientAccountId("other"),
                                                    .effect = ExceptionEffect::Deny,
                                                    .reason = "benchmark"});
    }
    config.accounts = {account};
    return config;
}

void chooseAmong25Versions(benchmark::State &state)
{
    const FleetConfig config = largeConfig();
    const QualityView quality;
    const AllReady ready;
    const ExposureGate gate;
    const ChoiceConditions<QualityView, AllReady, ExposureGate> conditions{quality, ready, gate};
    const ChoiceRequest request{.account = config.accounts[0],
                                .task = TaskName("tag"),
                                .request = RequestId("request-1"),
                                .outputTokens = 100,
                                .mayEscalate = true};
    while (state.KeepRunning())
        benchmark::DoNotOptimize(chooseVersions(config, request, conditions, WallTime{}));
}
BENCHMARK(chooseAmong25Versions);

} // namespace

BENCHMARK_MAIN();
