// Rating counts and the exponentially forgetting estimate.

#include "core/quality/quality_estimate.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cmath>
#include <numeric>

namespace fireflyroute::core {

namespace {

constexpr double kPermille = 1000;

std::size_t binOf(std::uint64_t permille)
{
    constexpr std::uint64_t width = 1000 / (kRatingBins - 1);
    return (permille + width - 1) / width;
}

} // namespace

void RatingCounts::add(double rating)
{
    const double clamped = std::isnan(rating) ? 0 : std::clamp(rating, 0.0, 1.0);
    const auto permille = static_cast<std::uint64_t>(std::lround(clamped * kPermille));
    ++bins[binOf(permille)];
    sumPermille += permille;
    sumSquares += permille * permille;
}

void RatingCounts::add(const RatingCounts &other)
{
    for (std::size_t bin = 0; bin < kRatingBins; ++bin)
        bins[bin] += other.bins[bin];
    sumPermille += other.sumPermille;
    sumSquares += other.sumSquares;
}

std::uint64_t RatingCounts::count() const
{
    return std::accumulate(bins.begin(), bins.end(), std::uint64_t{0});
}

bool RatingCounts::contains(const RatingCounts &earlier) const
{
    for (std::size_t bin = 0; bin < kRatingBins; ++bin) {
        if (bins[bin] < earlier.bins[bin])
            return false;
    }
    return sumPermille >= earlier.sumPermille && sumSquares >= earlier.sumSquares;
}

RatingCounts RatingCounts::since(const RatingCounts &earlier) const
{
    RatingCounts difference = *this;
    for (std::size_t bin = 0; bin < kRatingBins; ++bin)
        difference.bins[bin] -= earlier.bins[bin];
    difference.sumPermille -= earlier.sumPermille;
    difference.sumSquares -= earlier.sumSquares;
    return difference;
}

void QualityEstimate::add(const RatingCounts &batch)
{
    const auto count = static_cast<double>(batch.count());
    if (count == 0)
        return;
    const double decayPerRating = 1 - 1 / policy_.memoryRatings;
    const double decay = std::pow(decayPerRating, count);
    // Total weight of `count` consecutive ratings under exponential decay.
    const double addedWeight = (1 - decay) / (1 - decayPerRating);
    const double mean = static_cast<double>(batch.sumPermille) / kPermille / count;
    const double meanSquare =
            static_cast<double>(batch.sumSquares) / (kPermille * kPermille) / count;
    weight_ = weight_ * decay + addedWeight;
    sum_ = sum_ * decay + addedWeight * mean;
    sumSquares_ = sumSquares_ * decay + addedWeight * meanSquare;
}

QualityBounds QualityEstimate::bounds(double expectedQuality) const
{
    const double weight = weight_ + policy_.priorWeight;
    const double mean = (sum_ + policy_.priorWeight * expectedQuality) / weight;
    // The prior's ratings are assumed to be 0 or 1 only, so the sum of their squares equals their
    // sum.
    const double squares = sumSquares_ + policy_.priorWeight * expectedQuality;
    const double variance = std::max(squares / weight - mean * mean, 0.0);
    const double halfWidth = policy_.boundDeviations * std::sqrt(variance / weight);
    return QualityBounds{std::max(mean - halfWidth, 0.0), mean, std::min(mean + halfWidth, 1.0),
                         weight_};
}

} // namespace fireflyroute::core

std::size_t std::hash<fireflyroute::core::QualityKey>::operator()(
        const fireflyroute::core::QualityKey &key) const noexcept
{
    std::size_t seed = std::hash<fireflyroute::core::ModelVersion>()(key.version);
    boost::hash_combine(seed, key.task.value());
    return seed;
}
