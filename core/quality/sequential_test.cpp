// Updates the wealth of the bets from batches of rating counts.

#include "core/quality/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace fireflyroute::core {

namespace {

// The mean is clamped, because bets on means at the ends of the range would need unbounded stakes.
constexpr double kMinMean = 0.05;
constexpr double kMaxMean = 0.95;

// The lowest rating in a bin.
double minRatingOfBin(std::size_t bin)
{
    return bin == 0 ? 0 : ratingOfBin(bin - 1);
}

} // namespace

double SequentialTest::logGrowth(const RatingCounts &batch, double nullMean, double stake) const
{
    double growth = 0;
    for (std::size_t bin = 0; bin < kRatingBins; ++bin) {
        if (batch.bins[bin] == 0)
            continue;
        const double payoff = direction_ == TestDirection::Below
                                      ? (nullMean - ratingOfBin(bin)) / (1 - nullMean)
                                      : (minRatingOfBin(bin) - nullMean) / nullMean;
        growth += batch.bins[bin] * std::log1p(stake * payoff);
    }
    return growth;
}

void SequentialTest::add(const RatingCounts &batch, double nullMean)
{
    const double mean = std::clamp(nullMean, kMinMean, kMaxMean);
    count_ += batch.count();
    for (std::size_t index = 0; index < kStakes.size(); ++index) {
        if (start_ == DeviationStart::AnyRating)
            logWealth_[index] = std::max(logWealth_[index], 0.0);
        logWealth_[index] += logGrowth(batch, mean, kStakes[index]);
    }
}

double SequentialTest::evidence() const
{
    // The starting wealth is split equally over the stakes; the total is at least the largest of
    // them.
    const double largest = *std::max_element(logWealth_.begin(), logWealth_.end());
    return largest - std::log(static_cast<double>(kStakes.size()));
}

} // namespace fireflyroute::core
