// Simulation of version choice, ratings and the roll-out guard over a fake fleet. The checked
// bounds are the documented targets: cost at most 0.6 of always using the best model, with the
// quality target met for each task; a degraded version is held after at most 200 answers; a
// roll-out stays within its exposure bound; fewer than 1 false hold in 1,000 healthy roll-outs.
// Figures are printed with their seeds.

#define BOOST_TEST_MODULE cascade_experiment
#include "core/versions/testing/quality_experiment.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <functional>

using namespace fireflyroute::core;
using namespace fireflyroute::core::testing;

namespace {

constexpr std::uint64_t kSeed = 1000;
constexpr std::uint64_t kRequests = 20000;
constexpr double kCostTarget = 0.6;
constexpr std::uint64_t kMaxAnswersUntilHold = 200;
const ModelVersion kSmallVersion2{kSmall, VersionName("2")};

void print(const std::string &line)
{
    fmt::print("{}\n", line);
}

Totals report(const std::string &name, std::uint64_t seed, const Totals &totals,
              MicroCost bestModelCost)
{
    std::string line = fmt::format(
            "{:<22} seed {}: cost {:.3f} of best, ratings {:>6},", name, seed,
            static_cast<double>(totals.cost) / static_cast<double>(bestModelCost), totals.ratings);
    for (const FakeTask &task : fakeTasks())
        line += fmt::format(" {} {:.3f}", task.name.value(), totals.quality(task.name));
    print(line);
    return totals;
}

// Serves the traffic with a fixed rule: `selectModel` returns the model of the n-th request.
Totals runFixed(std::uint64_t seed, const std::function<ModelName(std::uint64_t)> &selectModel)
{
    FakeFleet fleet(seed);
    for (std::uint64_t request = 0; request < kRequests; ++request) {
        const FakeTask &task = fleet.sampleTask();
        const ModelName model = selectModel(request);
        fleet.charge(model);
        fleet.deliver(task.name, fleet.answer(task, ModelVersion{model, VersionName("1")}));
    }
    return fleet.totals();
}

// Dispatches to the models in order of cost and rates every answer until one meets the target.
Totals runStaticCascade(std::uint64_t seed)
{
    FakeFleet fleet(seed);
    for (std::uint64_t request = 0; request < kRequests; ++request) {
        const FakeTask &task = fleet.sampleTask();
        double quality = 0;
        for (const ModelName &model : {kSmall, kMedium, kLarge}) {
            fleet.charge(model);
            quality = fleet.answer(task, ModelVersion{model, VersionName("1")});
            if (model == kLarge || fleet.rate(quality) >= kQualityTarget)
                break;
        }
        fleet.deliver(task.name, quality);
    }
    return fleet.totals();
}

// Number of answers of the completely rolled out version between its quality drop and its hold.
std::uint64_t answersUntilHold(std::uint64_t seed, double drop, TrafficKind kind)
{
    FakeFleet fleet(seed);
    fleet.startRollout(kSmall, {1000});
    fleet.finishRollout(kSmall);
    fleet.run(3000, kind);
    BOOST_TEST_REQUIRE(!fleet.isHeld(kSmallVersion2));
    fleet.shiftQuality(kSmallVersion2, -drop);
    const std::uint64_t before = fleet.answersOf(kSmallVersion2);
    for (int round = 0; round < 1000 && !fleet.isHeld(kSmallVersion2); ++round)
        fleet.run(FakeFleet::kRequestsPerExchange, kind);
    BOOST_TEST(fleet.isHeld(kSmallVersion2), "not held, seed " << seed);
    return fleet.answersOf(kSmallVersion2) - before;
}

void checkDrop(double drop, TrafficKind kind, const std::string &name)
{
    constexpr std::uint64_t runs = 100;
    std::uint64_t maxAnswers = 0;
    std::uint64_t sum = 0;
    std::uint64_t worstSeed = 0;
    for (std::uint64_t seed = kSeed; seed < kSeed + runs; ++seed) {
        const std::uint64_t answers = answersUntilHold(seed, drop, kind);
        sum += answers;
        if (answers > maxAnswers) {
            maxAnswers = answers;
            worstSeed = seed;
        }
    }
    print(fmt::format("drop by {:.1f}, {}: seeds {} to {}: answers until held: mean {}, most {} "
                      "(seed {})",
                      drop, name, kSeed, kSeed + runs - 1, sum / runs, maxAnswers, worstSeed));
    BOOST_TEST(maxAnswers <= kMaxAnswersUntilHold);
}

// Whether the guard holds a roll-out whose new version is at least as good as the old one. Odd
// seeds use ratings of 0 or 1 only, which have the largest variance.
bool isFalselyHeld(std::uint64_t seed)
{
    std::mt19937_64 rng(seed);
    const auto sampleRating = [&](double mean) {
        if (seed % 2 == 1)
            return std::bernoulli_distribution(std::min(mean, 1.0))(rng) ? 1.0 : 0.0;
        return std::normal_distribution<double>(mean, 0.1)(rng);
    };
    FleetConfig config = fakeConfig();
    config.models[0].rollout = Rollout{
            .from = VersionName("1"), .to = VersionName("2"), .stagesPermille = {100, 1000}};
    RolloutGuard guard{GuardPolicy{}};
    const double improvement = std::uniform_real_distribution<double>(0, 0.03)(rng);
    for (int batch = 0; batch < 120; ++batch) {
        for (const FakeTask &task : fakeTasks()) {
            for (const char *version : {"1", "2"}) {
                RatingCounts newRatings;
                const double mean = task.quality.at(kSmall) + (*version == '2' ? improvement : 0.0);
                const int count = std::poisson_distribution<int>(3)(rng);
                for (int rating = 0; rating < count; ++rating)
                    newRatings.add(sampleRating(mean));
                const ModelVersion rated{kSmall, VersionName(version)};
                guard.observe(config, QualityEvidence{QualityKey{task.name, rated}, newRatings});
            }
        }
        if (!guard.step(config).empty())
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(cost_stays_below_target_with_quality_met_for_each_task)
{
    for (std::uint64_t seed = kSeed; seed < kSeed + 5; ++seed) {
        const Totals best = runFixed(seed, [](std::uint64_t) { return kLarge; });
        report("best model only", seed, best, best.cost);
        const std::array models{kSmall, kMedium, kLarge};
        report("round robin", seed,
               runFixed(seed, [&](std::uint64_t request) { return models[request % 3]; }),
               best.cost);
        report("cheapest model first", seed, runStaticCascade(seed), best.cost);
        FakeFleet fleet(seed);
        fleet.run(kRequests, TrafficKind::Auto);
        const Totals actual = report("fireflyroute", seed, fleet.totals(), best.cost);
        BOOST_TEST(static_cast<double>(actual.cost)
                   <= kCostTarget * static_cast<double>(best.cost));
        for (const FakeTask &task : fakeTasks())
            BOOST_TEST(actual.quality(task.name) >= kQualityTarget, task.name.value());
    }
}

BOOST_AUTO_TEST_CASE(degraded_version_is_held_within_the_answer_limit)
{
    checkDrop(0.4, TrafficKind::SmallModel, "requested by name");
    checkDrop(0.2, TrafficKind::SmallModel, "requested by name");
    checkDrop(0.4, TrafficKind::Auto, "auto");
}

BOOST_AUTO_TEST_CASE(faulty_rollout_stays_within_its_exposure_bound_and_is_held)
{
    constexpr std::uint64_t runs = 50;
    std::uint64_t maxAnswers = 0;
    for (std::uint64_t seed = kSeed; seed < kSeed + runs; ++seed) {
        FakeFleet fleet(seed);
        fleet.run(1000, TrafficKind::SmallModel);
        fleet.startRollout(kSmall, {300});
        fleet.shiftQuality(kSmallVersion2, -0.3);
        const std::uint32_t bound = fleet.config().defaults.rolloutExposureMaxPermille;
        std::uint64_t requests = 0;
        while (!fleet.isHeld(kSmallVersion2) && requests < 10000) {
            fleet.run(FakeFleet::kRequestsPerExchange, TrafficKind::SmallModel);
            requests += FakeFleet::kRequestsPerExchange;
            BOOST_TEST_REQUIRE(fleet.answersOf(kSmallVersion2) * 1000 <= requests * bound);
        }
        BOOST_TEST(fleet.isHeld(kSmallVersion2), "not held, seed " << seed);
        maxAnswers = std::max(maxAnswers, fleet.answersOf(kSmallVersion2));
    }
    print(fmt::format("faulty roll-out, quality lower by 0.3: seeds {} to {}: at most {} answers "
                      "of the new version until held",
                      kSeed, kSeed + runs - 1, maxAnswers));
    BOOST_TEST(maxAnswers <= kMaxAnswersUntilHold);
}

BOOST_AUTO_TEST_CASE(healthy_rollouts_are_not_held)
{
    constexpr std::uint64_t runs = 2000;
    std::uint64_t held = 0;
    for (std::uint64_t seed = kSeed; seed < kSeed + runs; ++seed) {
        if (!isFalselyHeld(seed))
            continue;
        ++held;
        print(fmt::format("false hold with seed {}", seed));
    }
    print(fmt::format("healthy roll-outs: seeds {} to {}: {} false holds of {}", kSeed,
                      kSeed + runs - 1, held, runs));
    BOOST_TEST(held * 1000 < runs);
}
