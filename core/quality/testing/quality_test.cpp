// Unit tests of quality estimates, their exchange between entries, and the rating policy.

#define BOOST_TEST_MODULE quality
#include "core/quality/quality_table.h"
#include "core/quality/rating_policy.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 20261204;
const QualityKey kKey{TaskName("tag"), ModelVersion{ModelName("small"), VersionName("1")}};

RatingCounts countsOf(double rating, int times)
{
    RatingCounts counts;
    for (int time = 0; time < times; ++time)
        counts.add(rating);
    return counts;
}

} // namespace

BOOST_AUTO_TEST_CASE(bounds_cover_the_true_mean_at_the_nominal_rate)
{
    BOOST_TEST_MESSAGE("seed " << kSeed);
    std::mt19937_64 rng(kSeed);
    std::uniform_real_distribution<double> rating(0.6, 1.0);
    constexpr int runs = 1000;
    int below = 0;
    for (int run = 0; run < runs; ++run) {
        QualityEstimate estimate(EstimatePolicy{});
        for (int count = 0; count < 150; ++count)
            estimate.add(countsOf(rating(rng), 1));
        below += estimate.bounds(0.8).lower > 0.8 ? 1 : 0;
    }
    // 1.64 standard deviations leave 5% on each side; forgetting may add another 5%.
    BOOST_TEST(below <= runs / 10);
}

BOOST_AUTO_TEST_CASE(lower_bound_falls_soon_after_a_quality_drop)
{
    QualityEstimate estimate(EstimatePolicy{});
    estimate.add(countsOf(0.9, 10000));
    BOOST_TEST(estimate.bounds(0.5).lower > 0.85);
    estimate.add(countsOf(0.4, 60));
    BOOST_TEST(estimate.bounds(0.5).lower < 0.8);
}

BOOST_AUTO_TEST_CASE(bounds_without_ratings_are_wide)
{
    const QualityBounds bounds = QualityEstimate(EstimatePolicy{}).bounds(0.9);
    BOOST_TEST(bounds.mean == 0.9, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(bounds.lower < 0.8);
    BOOST_TEST(bounds.upper == 1.0);
}

BOOST_AUTO_TEST_CASE(ratings_outside_the_range_are_clamped)
{
    RatingCounts counts;
    counts.add(-3);
    counts.add(7);
    counts.add(std::numeric_limits<double>::quiet_NaN());
    BOOST_TEST(counts.count() == 3U);
    BOOST_TEST(counts.sumPermille == 1000U);
}

BOOST_AUTO_TEST_CASE(repeated_lost_or_reordered_deltas_count_each_rating_once)
{
    QualityRecorder recorder(VmId("vm1"), Incarnation(1));
    recorder.record(kKey, 0.9);
    const QualityDelta first = recorder.deltaSince(0);
    recorder.record(kKey, 0.1);
    const QualityDelta lost = recorder.deltaSince(first.sequence);
    recorder.record(kKey, 0.5);
    const QualityDelta third = recorder.deltaSince(first.sequence);

    QualityMerger merger(EstimatePolicy{});
    RatingCounts counted;
    for (const QualityDelta *delta : {&first, &first, &third, &lost, &third}) {
        for (const QualityEvidence &evidence : merger.apply(*delta))
            counted.add(evidence.newRatings);
    }
    RatingCounts expected;
    for (const double rating : {0.9, 0.1, 0.5})
        expected.add(rating);
    BOOST_TEST((counted == expected));
    BOOST_TEST(recorder.deltaSince(third.sequence).rows.empty());
}

BOOST_AUTO_TEST_CASE(restarted_entry_counts_from_zero_and_its_old_deltas_are_ignored)
{
    QualityRecorder oldRecorder(VmId("vm1"), Incarnation(1));
    for (int count = 0; count < 5; ++count)
        oldRecorder.record(kKey, 0.9);
    QualityRecorder newRecorder(VmId("vm1"), Incarnation(2));
    newRecorder.record(kKey, 0.8);

    QualityMerger merger(EstimatePolicy{});
    BOOST_TEST(merger.apply(oldRecorder.deltaSince(0)).size() == 1U);
    const std::vector<QualityEvidence> evidence = merger.apply(newRecorder.deltaSince(0));
    BOOST_TEST_REQUIRE(evidence.size() == 1U);
    BOOST_TEST(evidence[0].newRatings.count() == 1U);
    oldRecorder.record(kKey, 0.9);
    BOOST_TEST(merger.apply(oldRecorder.deltaSince(0)).empty());
}

BOOST_AUTO_TEST_CASE(gap_between_rated_answers_is_bounded_and_a_low_rating_forces_rating)
{
    BOOST_TEST_MESSAGE("seed " << kSeed);
    RatingSampler<std::mt19937_64> sampler(kSeed, 50);
    constexpr int answers = 2000;
    constexpr int longestGap = 2 * 20 - 1;
    int rated = 0;
    int gap = 0;
    for (int answer = 0; answer < answers; ++answer) {
        gap = sampler.shouldRate(kKey.version, false) ? 0 : gap + 1;
        rated += gap == 0 ? 1 : 0;
        BOOST_TEST_REQUIRE(gap < longestGap);
    }
    BOOST_TEST(rated == answers * 50 / 1000);
    sampler.observe(kKey.version, 0.5, 0.9);
    BOOST_TEST(sampler.shouldRate(kKey.version, false));
    BOOST_TEST(sampler.shouldRate(kKey.version, false));
}

BOOST_AUTO_TEST_CASE(a_full_queue_drops_the_oldest_job)
{
    RatingQueue<int> queue(2);
    queue.push(1);
    queue.push(2);
    BOOST_TEST((queue.push(3) == 1));
    BOOST_TEST(queue.dropped() == 1U);
    BOOST_TEST((queue.pop() == 2));
    BOOST_TEST(queue.size() == 1U);
}

BOOST_AUTO_TEST_CASE(circuit_opens_after_failures_and_closes_after_a_probe)
{
    const Instant start{1h};
    RatingCircuitBreaker breaker(CircuitPolicy{.failuresToOpen = 2, .openDuration = 5s});
    breaker.recordFailure(start);
    BOOST_TEST(breaker.allowRequest(start));
    breaker.recordFailure(start);
    BOOST_TEST(!breaker.allowRequest(start + 4s));
    BOOST_TEST(breaker.allowRequest(start + 5s));
    BOOST_TEST(!breaker.allowRequest(start + 5s));
    breaker.recordFailure(start + 6s);
    BOOST_TEST(!breaker.allowRequest(start + 10s));
    BOOST_TEST(breaker.allowRequest(start + 11s));
    breaker.recordSuccess();
    BOOST_TEST((breaker.state() == CircuitState::Closed));
}
