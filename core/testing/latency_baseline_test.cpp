// Tests which answers count as far slower than others of their route.

#define BOOST_TEST_MODULE latency_baseline
#include "core/latency_baseline.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

// Records answers of endpoints of which the given share is slower by the factor. Returns how often
// an answer of `probe` did not count as slow, over the second half of them.
int recordAnswers(LatencyBaseline &baseline, int count, double slowShare, int factor,
                  Duration probe)
{
    std::mt19937 random(7);
    std::bernoulli_distribution isSlowEndpoint(slowShare);
    std::uniform_int_distribution<int> latencyMs(80, 120);
    int missed = 0;
    for (int i = 0; i < count; ++i) {
        const int scale = isSlowEndpoint(random) ? factor : 1;
        baseline.record("a", std::chrono::milliseconds(latencyMs(random) * scale));
        missed += i >= count / 2 && !baseline.isSlow("a", probe) ? 1 : 0;
    }
    return missed;
}

} // namespace

// Guards against a slow version that is rolled out while other endpoints are slow as well: the
// average rose with them, and answers eight times slower than usual no longer counted as slow.
// Found by deploy/days/bad-slow.toml --vary --seed 1096948455104 on Vedeni.
BOOST_AUTO_TEST_CASE(minority_of_slow_endpoints_hides_no_slow_answer)
{
    LatencyBaseline baseline;
    BOOST_TEST(recordAnswers(baseline, 1000, 0.3, 5, 800ms) == 0);
    BOOST_TEST(!baseline.isSlow("a", 300ms));
}

BOOST_AUTO_TEST_CASE(baseline_recovers_from_an_unusual_first_answer)
{
    LatencyBaseline baseline;
    BOOST_TEST(!baseline.isSlow("a", 10s));
    baseline.record("a", 3000ms);
    BOOST_TEST(recordAnswers(baseline, 300, 0, 1, 500ms) == 0);
    BOOST_TEST(!baseline.isSlow("b", 10s));
}

BOOST_AUTO_TEST_CASE(short_latencies_are_never_slow)
{
    LatencyBaseline baseline;
    for (int i = 0; i < 20; ++i)
        baseline.record("a", 1ms);
    BOOST_TEST(!baseline.isSlow("a", LatencyBaseline::kMinSlowLatency));
    BOOST_TEST(baseline.isSlow("a", LatencyBaseline::kMinSlowLatency + 1ms));
}
