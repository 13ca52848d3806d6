// Unit tests of prefix cache and load estimates with late, incomplete and missing reports.

#define BOOST_TEST_MODULE prefix_cache
#include "core/sessions/prefix_cache.h"

#include "core/balancing/outstanding.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const EndpointId kEndpoint("e1");

} // namespace

BOOST_AUTO_TEST_CASE(prompts_share_hashes_of_their_common_prefix)
{
    const std::string common(2000, 'a');
    const auto left = prefixHashes(common + std::string(1000, 'b'));
    const auto right = prefixHashes(common + std::string(1000, 'c'));
    BOOST_TEST_REQUIRE(left.size() == right.size());
    BOOST_TEST(left[2] == right[2]);
    BOOST_TEST(left.back() != right.back());
    BOOST_TEST(prefixHashes(std::string(1'000'000, 'a')).size() < 100U);
}

BOOST_AUTO_TEST_CASE(longest_observed_prefix_counts_despite_gaps_and_decays_with_age)
{
    PrefixCache cache(100);
    const std::vector<std::uint64_t> prefixes{1, 2, 3, 4};
    const std::vector<std::uint64_t> prefixesWithGap{1, 3};
    cache.observe(kEndpoint, prefixesWithGap, kStart);
    BOOST_TEST_REQUIRE(cache.holders(prefixes, kStart).size() == 1U);
    const double initialFraction = cache.holders(prefixes, kStart)[0].hitFraction;
    BOOST_TEST(initialFraction == 0.75);
    const double decayedFraction = cache.holders(prefixes, kStart + 5min)[0].hitFraction;
    BOOST_TEST(decayedFraction < initialFraction / 2);
    cache.observe(kEndpoint, prefixesWithGap, kStart - 1min); // received late; has no effect
    BOOST_TEST(cache.holders(prefixes, kStart)[0].hitFraction == initialFraction);
}

BOOST_AUTO_TEST_CASE(repeated_observation_is_an_update_after_the_refresh_interval)
{
    PrefixCache cache(100);
    const std::vector<std::uint64_t> prefixes{1, 2};
    BOOST_TEST(cache.observe(kEndpoint, prefixes, kStart));
    BOOST_TEST(!cache.observe(kEndpoint, prefixes, kStart + 5s));
    BOOST_TEST(cache.observe(EndpointId("e2"), prefixes, kStart + 5s));
    BOOST_TEST(cache.observe(kEndpoint, prefixes, kStart + 16s));
    BOOST_TEST(cache.observe(kEndpoint, std::vector<std::uint64_t>{1, 3}, kStart + 16s));
    BOOST_TEST(cache.holders(prefixes, kStart + 16s).front().blocks == 2U);
}

BOOST_AUTO_TEST_CASE(capacity_is_bounded_and_the_least_recent_prefix_is_evicted)
{
    PrefixCache cache(10);
    for (std::uint64_t prefix = 0; prefix < 1000; ++prefix)
        cache.observe(kEndpoint, std::vector{prefix}, kStart);
    BOOST_TEST(cache.size() == 10U);
    BOOST_TEST(cache.holders(std::vector<std::uint64_t>{5}, kStart).empty());
    BOOST_TEST(!cache.holders(std::vector<std::uint64_t>{999}, kStart).empty());
}

BOOST_AUTO_TEST_CASE(load_is_the_delayed_report_plus_later_changes)
{
    LoadEstimator loadEstimator(100ms);
    EndpointState state;
    state.lastAnnouncement.id = kEndpoint;
    state.lastAnnouncement.load.running = 3;
    state.announcedAt = kStart;
    loadEstimator.recordStart(kEndpoint, kStart - 200ms); // included in the report
    loadEstimator.recordStart(kEndpoint, kStart - 50ms); // after the measurement
    loadEstimator.recordStart(kEndpoint, kStart + 1ms);
    BOOST_TEST(loadEstimator.load(state) == 5U);
    loadEstimator.recordFinish(kEndpoint, kStart + 2ms);
    BOOST_TEST(loadEstimator.load(state) == 4U);
    state.lastAnnouncement.load.running = 0;
    state.announcedAt = kStart + 1s;
    BOOST_TEST(loadEstimator.load(state) == 2U); // two requests of this entry are still running
    loadEstimator.recordFinish(kEndpoint, kStart + 1s);
    loadEstimator.recordFinish(kEndpoint, kStart + 1s);
    loadEstimator.recordFinish(kEndpoint, kStart + 1s); // has no matching start
    BOOST_TEST(loadEstimator.inFlight(kEndpoint) == 0U);
}
