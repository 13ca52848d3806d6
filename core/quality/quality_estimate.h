// Estimates of answer quality from ratings: the mean quality of one model version for one task,
// with confidence bounds.
//
//   QualityEstimate estimate(EstimatePolicy{});
//   RatingCounts batch;
//   batch.add(0.9);
//   estimate.add(batch);
//   estimate.bounds(version.expectedQuality).lower >= target
//
// The bounds are those of a posterior mean. The prior is the expected quality of the version; it
// counts as a few ratings with the largest variance that a mean in [0, 1] permits, and every real
// rating moves mean and variance away from it. Compared with Hoeffding or empirical Bernstein
// bounds, this exploits the small variance of ratings after about twenty of them, when Hoeffding's
// interval is still wider than the difference between two models. The bounds affect cost only. A
// faulty version is held by the anytime-valid test in core/quality/sequential_test.h.
//
// The weight of a rating decays with the number of later ratings and not with time, so the estimate
// of an idle version does not change.

#ifndef FIREFLYROUTE_CORE_QUALITY_QUALITY_ESTIMATE_H
#define FIREFLYROUTE_CORE_QUALITY_QUALITY_ESTIMATE_H

#include "core/common/types.h"

#include <array>
#include <cstdint>

namespace fireflyroute::core {

// Key of an estimate: a task and the model version that answers it.
struct QualityKey
{
    TaskName task;
    ModelVersion version;

    auto operator<=>(const QualityKey &) const = default;
};

constexpr std::size_t kRatingBins = 21;

// Rating that represents a bin: the largest one that falls into it.
[[nodiscard]] constexpr double ratingOfBin(std::size_t bin)
{
    return static_cast<double>(bin) / static_cast<double>(kRatingBins - 1);
}

// Histogram of ratings in bins of equal width, with exact sums. At their origin counts only
// increase, so a later total contains every earlier one.
struct RatingCounts
{
    std::array<std::uint32_t, kRatingBins> bins{};
    std::uint64_t sumPermille = 0; // sum of ratings in thousandths
    std::uint64_t sumSquares = 0; // sum of the squares of ratings in thousandths

    // Counts one rating. Values outside [0, 1] are clamped.
    void add(double rating);
    void add(const RatingCounts &other);

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] bool contains(const RatingCounts &earlier) const;

    // Ratings counted after `earlier`, which must be contained in this total.
    [[nodiscard]] RatingCounts since(const RatingCounts &earlier) const;

    bool operator==(const RatingCounts &) const = default;
};

// Mean quality with its confidence bounds, all in 0 to 1.
struct QualityBounds
{
    double lower = 0;
    double mean = 0;
    double upper = 1;
    double weight = 0; // effective number of ratings after forgetting

    bool operator==(const QualityBounds &) const = default;
};

// Parameters of forgetting and of the confidence bounds.
struct EstimatePolicy
{
    double memoryRatings = 200; // number of ratings after which a rating has lost 63% of its weight
    double priorWeight = 4; // number of ratings that the expected quality counts as
    double boundDeviations = 1.64; // distance of a bound from the mean in standard deviations
};

// Exponentially forgetting estimate of one QualityKey.
class QualityEstimate
{
public:
    explicit QualityEstimate(const EstimatePolicy &policy)
        : policy_(policy)
    {}

    void add(const RatingCounts &batch);

    // `expectedQuality`: prior mean, which dominates while there are few ratings.
    [[nodiscard]] QualityBounds bounds(double expectedQuality) const;

private:
    EstimatePolicy policy_;
    double weight_ = 0; // at most policy_.memoryRatings + 1
    double sum_ = 0; // 0 <= sumSquares_ <= sum_ <= weight_
    double sumSquares_ = 0;
};

} // namespace fireflyroute::core

template<>
struct std::hash<fireflyroute::core::QualityKey>
{
    std::size_t operator()(const fireflyroute::core::QualityKey &key) const noexcept;
};

#endif
