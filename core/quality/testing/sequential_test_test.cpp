// Error rates and detection delay of the sequential test.

#define BOOST_TEST_MODULE sequential_test
#include "core/quality/sequential_test.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace fireflyroute::core;

namespace {

constexpr std::uint64_t kSeed = 4711;
constexpr double kLogThousand = 6.907755; // ln(1000)

RatingCounts singleRating(double rating)
{
    RatingCounts counts;
    counts.add(rating);
    return counts;
}

// Ratings of 0 or 1 have the largest variance for a given mean.
RatingCounts sampleRating(std::mt19937_64 &rng, double mean)
{
    return singleRating(std::bernoulli_distribution(mean)(rng) ? 1.0 : 0.0);
}

} // namespace

BOOST_AUTO_TEST_CASE(false_rejection_rate_is_within_the_bound)
{
    BOOST_TEST_MESSAGE("seed " << kSeed);
    std::mt19937_64 rng(kSeed);
    constexpr int runs = 2000;
    int rejected = 0;
    for (int run = 0; run < runs; ++run) {
        SequentialTest test(TestDirection::Below, DeviationStart::FirstRating);
        double maxEvidence = 0;
        for (int count = 0; count < 500; ++count) {
            test.add(sampleRating(rng, 0.85), 0.85);
            maxEvidence = std::max(maxEvidence, test.evidence());
        }
        rejected += maxEvidence >= std::log(20.0) ? 1 : 0;
    }
    BOOST_TEST(rejected <= runs / 20);
}

BOOST_AUTO_TEST_CASE(drop_after_many_high_ratings_is_detected_quickly)
{
    SequentialTest test(TestDirection::Below, DeviationStart::AnyRating);
    for (int count = 0; count < 10000; ++count)
        test.add(singleRating(0.9), 0.84);
    BOOST_TEST(test.evidence() < 0);
    int needed = 0;
    while (test.evidence() < kLogThousand && needed < 1000) {
        test.add(singleRating(0.4), 0.84);
        ++needed;
    }
    BOOST_TEST(needed <= 20);
}

BOOST_AUTO_TEST_CASE(the_order_within_a_batch_does_not_matter)
{
    RatingCounts batch;
    SequentialTest single(TestDirection::Below, DeviationStart::FirstRating);
    for (const double rating : {0.1, 0.9, 0.5, 0.3}) {
        batch.add(rating);
        single.add(singleRating(rating), 0.8);
    }
    SequentialTest batched(TestDirection::Below, DeviationStart::FirstRating);
    batched.add(batch, 0.8);
    BOOST_TEST(batched.evidence() == single.evidence(), boost::test_tools::tolerance(1e-9));
    BOOST_TEST(batched.count() == 4U);
}

BOOST_AUTO_TEST_CASE(upward_test_detects_a_higher_mean_and_accepts_an_equal_one)
{
    std::mt19937_64 rng(kSeed);
    SequentialTest aboveHypothesis(TestDirection::Above, DeviationStart::FirstRating);
    SequentialTest atHypothesis(TestDirection::Above, DeviationStart::FirstRating);
    for (int count = 0; count < 1000; ++count) {
        aboveHypothesis.add(sampleRating(rng, 0.9), 0.75);
        atHypothesis.add(sampleRating(rng, 0.75), 0.75);
    }
    BOOST_TEST(aboveHypothesis.evidence() > kLogThousand);
    BOOST_TEST(atHypothesis.evidence() < kLogThousand);
}
