// Prefix cache estimates and outstanding load under late, gappy and missing reports.

#define BOOST_TEST_MODULE prefix_cache
#include "core/prefix_cache.h"

#include "core/outstanding.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const EndpointId kEndpoint("e1");

} // namespace

BOOST_AUTO_TEST_CASE(prompts_share_hashes_up_to_where_they_differ)
{
    const std::string common(2000, 'a');
    const auto left = prefixHashes(common + std::string(1000, 'b'));
    const auto right = prefixHashes(common + std::string(1000, 'c'));
    BOOST_TEST_REQUIRE(left.size() == right.size());
    BOOST_TEST(left[2] == right[2]);
    BOOST_TEST(left.back() != right.back());
    BOOST_TEST(prefixHashes(std::string(1'000'000, 'a')).size() < 100U);
}

BOOST_AUTO_TEST_CASE(the_longest_known_prefix_counts_despite_gaps_and_fades_with_age)
{
    PrefixCache cache(100);
    const std::vector<std::uint64_t> prefixes{1, 2, 3, 4};
    const std::vector<std::uint64_t> gappy{1, 3};
    cache.observe(kEndpoint, gappy, kStart);
    BOOST_TEST_REQUIRE(cache.holders(prefixes, kStart).size() == 1U);
    const double fresh = cache.holders(prefixes, kStart)[0].hit;
    BOOST_TEST(fresh == 0.75);
    const double old = cache.holders(prefixes, kStart + 5min)[0].hit;
    BOOST_TEST(old < fresh / 2);
    cache.observe(kEndpoint, gappy, kStart - 1min); // arrives late, changes nothing
    BOOST_TEST(cache.holders(prefixes, kStart)[0].hit == fresh);
}

BOOST_AUTO_TEST_CASE(a_sighting_is_news_once_in_a_while)
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

BOOST_AUTO_TEST_CASE(memory_is_bounded_and_the_least_recent_goes)
{
    PrefixCache cache(10);
    for (std::uint64_t prefix = 0; prefix < 1000; ++prefix)
        cache.observe(kEndpoint, std::vector{prefix}, kStart);
    BOOST_TEST(cache.size() == 10U);
    BOOST_TEST(cache.holders(std::vector<std::uint64_t>{5}, kStart).empty());
    BOOST_TEST(!cache.holders(std::vector<std::uint64_t>{999}, kStart).empty());
}

BOOST_AUTO_TEST_CASE(load_is_the_lagged_report_and_what_came_since)
{
    Outstanding outstanding(100ms);
    EndpointState state;
    state.last.id = kEndpoint;
    state.last.load.running = 3;
    state.heardAt = kStart;
    outstanding.started(kEndpoint, kStart - 200ms); // in the report
    outstanding.started(kEndpoint, kStart - 50ms); // after it was measured
    outstanding.started(kEndpoint, kStart + 1ms);
    BOOST_TEST(outstanding.load(state) == 5U);
    outstanding.finished(kEndpoint, kStart + 2ms);
    BOOST_TEST(outstanding.load(state) == 4U);
    state.last.load.running = 0;
    state.heardAt = kStart + 1s;
    BOOST_TEST(outstanding.load(state) == 2U); // its own are known to run
    outstanding.finished(kEndpoint, kStart + 1s);
    outstanding.finished(kEndpoint, kStart + 1s);
    outstanding.finished(kEndpoint, kStart + 1s); // one too many
    BOOST_TEST(outstanding.inFlight(kEndpoint) == 0U);
}
