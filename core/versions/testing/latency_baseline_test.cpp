// Tests which answers count as far slower than others of their route.

#define BOOST_TEST_MODULE latency_baseline
#include "core/versions/latency_baseline.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const AnswerKind kKindA{"a", ModelName("small")};
constexpr std::chrono::milliseconds kMinSlowLatency{150};

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
        baseline.record(kKindA, LoadLevel::Medium,
                        std::chrono::milliseconds(latencyMs(random) * scale));
        missed += i >= count / 2 && !baseline.isSlow(kKindA, LoadLevel::Medium, probe) ? 1 : 0;
    }
    return missed;
}

} // namespace

// Guards against a slow version that is rolled out while other endpoints are slow as well: the
// average rose with them, and answers eight times slower than usual no longer counted as slow.
// Found by deploy/days/bad-slow.toml --vary --seed 1096948455104 on Vedeni.
BOOST_AUTO_TEST_CASE(minority_of_slow_endpoints_hides_no_slow_answer)
{
    LatencyBaseline baseline(4, kMinSlowLatency);
    BOOST_TEST(recordAnswers(baseline, 1000, 0.3, 5, 800ms) == 0);
    BOOST_TEST(!baseline.isSlow(kKindA, LoadLevel::Medium, 300ms));
}

BOOST_AUTO_TEST_CASE(baseline_recovers_from_an_unusual_first_answer)
{
    LatencyBaseline baseline(4, kMinSlowLatency);
    BOOST_TEST(!baseline.isSlow(kKindA, LoadLevel::Medium, 10s));
    baseline.record(kKindA, LoadLevel::Medium, 3000ms);
    BOOST_TEST(recordAnswers(baseline, 300, 0, 1, 500ms) == 0);
    BOOST_TEST(!baseline.isSlow(AnswerKind{"b", {}}, LoadLevel::Medium, 10s));
}

BOOST_AUTO_TEST_CASE(short_latencies_are_never_slow)
{
    LatencyBaseline baseline(4, kMinSlowLatency);
    for (int i = 0; i < 20; ++i)
        baseline.record(kKindA, LoadLevel::Medium, 1ms);
    BOOST_TEST(!baseline.isSlow(kKindA, LoadLevel::Medium, kMinSlowLatency));
    BOOST_TEST(baseline.isSlow(kKindA, LoadLevel::Medium, kMinSlowLatency + 1ms));
}

// Guards against EXPOSURE on the grown Vedeni, bad-slow --vary --seed 394269707405: an entry that
// had just started saw 15 answers of a route, its estimate still was that of the first, fast one,
// and 40% of the answers of sound endpoints counted as slow.
BOOST_AUTO_TEST_CASE(usual_answers_are_not_slow_after_a_fast_first_one)
{
    LatencyBaseline baseline(4, kMinSlowLatency);
    baseline.record(kKindA, LoadLevel::Medium, 40ms);
    int slow = 0;
    for (int i = 0; i < 15; ++i) {
        const Duration latency = 200ms + i % 5 * 20ms;
        slow += baseline.isSlow(kKindA, LoadLevel::Medium, latency) ? 1 : 0;
        baseline.record(kKindA, LoadLevel::Medium, latency);
    }
    BOOST_TEST(slow == 0);
    BOOST_TEST(baseline.isSlow(kKindA, LoadLevel::Medium, 1200ms));
}

// Guards against the same: the slow version's endpoints had one request each, the others six, so
// its events came at half of the usual rate instead of an eighth, and its first events as usual.
BOOST_AUTO_TEST_CASE(answer_of_an_idle_endpoint_is_compared_with_those_of_idle_ones)
{
    LatencyBaseline intervals(2, 20ms);
    for (int i = 0; i < 20; ++i) {
        intervals.record(kKindA, LoadLevel::Light, 45ms);
        intervals.record(kKindA, LoadLevel::Medium, 70ms);
        intervals.record(kKindA, LoadLevel::Heavy, 95ms);
    }
    BOOST_TEST(intervals.isSlow(kKindA, LoadLevel::Light, 141ms));
    BOOST_TEST(!intervals.isSlow(kKindA, LoadLevel::Heavy, 141ms));
}

BOOST_AUTO_TEST_CASE(answers_at_a_higher_load_are_compared_where_none_had_the_same)
{
    LatencyBaseline intervals(2, 20ms);
    for (int i = 0; i < 4; ++i)
        intervals.record(kKindA, LoadLevel::Light, 10ms);
    BOOST_TEST(!intervals.isSlow(kKindA, LoadLevel::Light, 500ms));
    for (int i = 0; i < 5; ++i)
        intervals.record(kKindA, LoadLevel::Medium, 70ms);
    BOOST_TEST(!intervals.isSlow(kKindA, LoadLevel::Light, 140ms));
    BOOST_TEST(intervals.isSlow(kKindA, LoadLevel::Light, 141ms));
    BOOST_TEST(!intervals.isSlow(kKindA, LoadLevel::Heavy, 500ms));
}

BOOST_AUTO_TEST_CASE(load_level_is_relative_to_the_slots)
{
    BOOST_TEST((loadLevel(1, 12) == LoadLevel::Idle));
    BOOST_TEST((loadLevel(2, 12) == LoadLevel::Light));
    BOOST_TEST((loadLevel(3, 12) == LoadLevel::Medium));
    BOOST_TEST((loadLevel(6, 12) == LoadLevel::Heavy));
    BOOST_TEST((loadLevel(7, 64) == LoadLevel::Idle));
    BOOST_TEST((loadLevel(8, 64) == LoadLevel::Light));
    BOOST_TEST((loadLevel(0, 0) == LoadLevel::Idle));
}

// Guards against answers of a larger model counting as slow ones of the smaller one.
BOOST_AUTO_TEST_CASE(models_of_a_route_have_baselines_of_their_own)
{
    LatencyBaseline baseline(4, kMinSlowLatency);
    const AnswerKind large{"a", ModelName("large")};
    for (int i = 0; i < 30; ++i) {
        baseline.record(kKindA, LoadLevel::Medium, 100ms);
        if (i % 4 == 0)
            baseline.record(large, LoadLevel::Medium, 900ms);
    }
    BOOST_TEST(baseline.isSlow(kKindA, LoadLevel::Medium, 900ms));
    BOOST_TEST(!baseline.isSlow(large, LoadLevel::Medium, 900ms));
}
