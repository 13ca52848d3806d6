// Sequential test of a mean by betting. The test processes ratings as they arrive and can be
// evaluated at any time to decide whether their mean is below (or above) a given value.
//
//   SequentialTest test(TestDirection::Below, DeviationStart::AnyRating);
//   test.add(batch, baseline.lower - tolerance);
//   if (test.evidence() >= std::log(1e6))
//       ...                               // the ratings are too low, with odds of a million to one
//
// The null hypothesis is "the mean is at least m". A bettor against it stakes a fraction of the
// wealth on each rating being below m. Under the hypothesis the wealth is a supermartingale, so it
// exceeds A with probability at most 1/A regardless of how often it is checked (Ville's
// inequality). The only assumption on the distribution is that ratings are in [0, 1]. Several
// stakes are evaluated in parallel.
//
// The wealth after a batch depends only on its counts and not on their order, so that merged deltas
// of many entries give a unique result. Ratings are rounded in favour of the null hypothesis.

#ifndef FIREFLYROUTE_CORE_QUALITY_SEQUENTIAL_TEST_H
#define FIREFLYROUTE_CORE_QUALITY_SEQUENTIAL_TEST_H

#include "core/quality/quality_estimate.h"

#include <array>

namespace fireflyroute::core {

// The direction of the deviation that the test detects.
enum class TestDirection { Below, Above };

template<>
struct EnumNames<TestDirection>
{
    static constexpr std::array table{
            EnumName{TestDirection::Below, "below"},
            EnumName{TestDirection::Above, "above"},
    };
};

// When the mean may start to deviate: at the first rating or at an unknown later one. With
// AnyRating the wealth never falls below its initial value, and A bounds the mean number of ratings
// between false alarms instead of the probability of a false alarm.
enum class DeviationStart { FirstRating, AnyRating };

template<>
struct EnumNames<DeviationStart>
{
    static constexpr std::array table{
            EnumName{DeviationStart::FirstRating, "first"},
            EnumName{DeviationStart::AnyRating, "anywhere"},
    };
};

class SequentialTest
{
public:
    SequentialTest(TestDirection direction, DeviationStart start)
        : direction_(direction)
        , start_(start)
    {}

    // Adds ratings. `nullMean` must not depend on them, only on earlier data.
    void add(const RatingCounts &batch, double nullMean);

    // Natural logarithm of the wealth, with an initial wealth of 1.
    [[nodiscard]] double evidence() const;

    [[nodiscard]] std::uint64_t count() const { return count_; }

private:
    // Fractions of the largest stake that cannot lose the whole wealth.
    static constexpr std::array kStakes{0.1, 0.3, 0.6, 0.9};

    [[nodiscard]] double logGrowth(const RatingCounts &batch, double nullMean, double stake) const;

    TestDirection direction_;
    DeviationStart start_;
    std::uint64_t count_ = 0;
    std::array<double, kStakes.size()> logWealth_{}; // one per stake
};

} // namespace fireflyroute::core

#endif
