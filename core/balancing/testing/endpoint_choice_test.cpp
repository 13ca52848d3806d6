// Unit tests of endpoint choice: exclusion, preferences and baseline policies.

#define BOOST_TEST_MODULE endpoint_choice
#include "core/balancing/endpoint_choice.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const ModelVersion kVersion{ModelName("m"), VersionName("1")};
const DataCentreId kLocalDataCentre("nairobi/1");
constexpr std::uint64_t kSeed = 20261204;
constexpr std::uint32_t kConcurrency = 8;
const auto kAnyEndpoint = [](const EndpointState &) { return true; };

struct Fixture
{
    Directory directory{30s};
    LoadEstimator loadEstimator{0ms};
    PrefixCache prefixCache{100};
    EndpointChoiceRequest request{.target = kVersion, .promptTokens = 1000, .transferBytes = 8000};
    std::mt19937_64 rng{kSeed};

    Fixture() { BOOST_TEST_MESSAGE("seed " << kSeed); }

    void announce(const std::string &id, const char *dataCentre, std::uint32_t running)
    {
        EndpointAnnouncement result;
        result.id = EndpointId(id);
        result.sequence = ++sequence;
        result.phase = EndpointPhase::Ready;
        result.dataCentre = DataCentreId(dataCentre);
        result.versions = {kVersion};
        result.load.running = running;
        directory.announce(result, 0ms, kStart);
    }

    template<typename Policy = WeightedPolicy, typename Usable = decltype(kAnyEndpoint)>
    Result<ChosenEndpoint> choose(Usable usable = kAnyEndpoint)
    {
        const EndpointIndex index(directory.view(kStart), kLocalDataCentre, distanceByName);
        EndpointChooser<Policy> chooser(kConcurrency);
        return chooser.choose(index, request, loadEstimator, prefixCache, usable, rng, kStart);
    }

    std::string chosen()
    {
        const Result<ChosenEndpoint> result = choose();
        return result ? result.value().id.value() : std::string(nameOf(result.error().code));
    }

    std::uint64_t sequence = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(excluded_unusable_and_full_endpoints_are_never_selected, Fixture)
{
    announce("tried", "nairobi/1", 0);
    announce("condemned", "nairobi/1", 0);
    announce("full", "nairobi/1", 100 * kConcurrency);
    announce("good", "kisumu/1", 1);
    request.excluded = {EndpointId("tried")};
    const auto usable = [](const EndpointState &s) {
        return s.lastAnnouncement.id.value() != "condemned";
    };
    for (int i = 0; i < 200; ++i)
        BOOST_TEST_REQUIRE(choose(usable).value().id.value() == "good");
    request.excluded.push_back(EndpointId("good"));
    BOOST_TEST((choose(usable).error().code == CoreError::Overloaded));
    request.excluded.push_back(EndpointId("full"));
    BOOST_TEST((choose(usable).error().code == CoreError::NoEndpoint));
    request.target = ServiceName("ledger");
    BOOST_TEST((choose(usable).error().code == CoreError::NoEndpoint));
}

BOOST_FIXTURE_TEST_CASE(single_free_endpoint_among_full_ones_is_found, Fixture)
{
    for (int i = 0; i < 300; ++i)
        announce("full" + std::to_string(i), "nairobi/1", 100 * kConcurrency);
    announce("good", "nairobi/1", 0);
    BOOST_TEST(chosen() == "good");
}

BOOST_FIXTURE_TEST_CASE(requests_sent_since_the_report_count_as_load, Fixture)
{
    announce("a", "nairobi/1", 0);
    announce("b", "nairobi/1", 0);
    std::map<std::string, int> counts;
    for (std::uint32_t i = 0; i < 2 * kConcurrency; ++i) {
        const std::string id = chosen();
        ++counts[id];
        loadEstimator.recordStart(EndpointId(id), kStart + 1ms);
    }
    BOOST_TEST(counts["a"] >= static_cast<int>(kConcurrency) / 2);
    BOOST_TEST(counts["b"] >= static_cast<int>(kConcurrency) / 2);
}

BOOST_FIXTURE_TEST_CASE(near_endpoints_are_preferred_until_they_are_loaded, Fixture)
{
    announce("near", "nairobi/1", 1);
    announce("far", "mombasa/1", 1);
    BOOST_TEST(chosen() == "near");
    announce("near", "nairobi/1", 2 * kConcurrency - 1);
    request.rank = Rank::Urgent;
    BOOST_TEST(chosen() == "far");
}

BOOST_FIXTURE_TEST_CASE(background_requests_prefer_queueing_to_billed_traffic, Fixture)
{
    announce("near", "nairobi/1", kConcurrency + 2);
    announce("far", "mombasa/1", 1);
    request.transferBytes = 100'000;
    request.rank = Rank::Urgent;
    BOOST_TEST(chosen() == "far");
    request.rank = Rank::Background;
    BOOST_TEST(chosen() == "near");
}

BOOST_FIXTURE_TEST_CASE(prefix_hit_is_preferred_until_the_endpoint_restarts, Fixture)
{
    for (int i = 0; i < 200; ++i)
        announce("e" + std::to_string(i), "nairobi/1", 1);
    request.prefixes = prefixHashes(std::string(4000, 'x'));
    prefixCache.observe(EndpointId("e77"), request.prefixes, kStart - 1s);
    BOOST_TEST(chosen() == "e77");
    prefixCache.invalidate(EndpointId("e77"), kStart);
    int hits = 0;
    for (int i = 0; i < 10; ++i)
        hits += chosen() == "e77" ? 1 : 0;
    BOOST_TEST(hits < 10);
}

BOOST_FIXTURE_TEST_CASE(baseline_policies_select_as_documented, Fixture)
{
    announce("a", "nairobi/1", 5);
    announce("b", "nairobi/1", 0);
    announce("c", "mombasa/1", 3);
    BOOST_TEST(choose<LeastLoadedPolicy>().value().id.value() == "b");
    const EndpointIndex index(directory.view(kStart), kLocalDataCentre, distanceByName);
    EndpointChooser<RoundRobinPolicy> roundRobin(kConcurrency);
    EndpointChooser<RandomPolicy> random(kConcurrency);
    std::map<std::string, int> roundRobinCounts;
    std::map<std::string, int> randomCounts;
    for (int i = 0; i < 30; ++i) {
        ++roundRobinCounts[roundRobin
                                   .choose(index, request, loadEstimator, prefixCache, kAnyEndpoint,
                                           rng, kStart)
                                   .value()
                                   .id.value()];
        ++randomCounts[random.choose(index, request, loadEstimator, prefixCache, kAnyEndpoint, rng,
                                     kStart)
                               .value()
                               .id.value()];
    }
    BOOST_TEST(roundRobinCounts["a"] == 10);
    BOOST_TEST(roundRobinCounts["b"] == 10);
    BOOST_TEST(randomCounts.size() == 3U);
}
