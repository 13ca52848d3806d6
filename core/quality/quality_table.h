// Ratings of the whole fleet. Each entry counts the ratings of its own answers in a QualityRecorder
// and sends deltas. A QualityMerger applies the deltas of all entries, including its own, and keeps
// one estimate per task and version.
//
//   recorder.record(key, 0.9);
//   QualityDelta delta = recorder.deltaSince(acknowledged);
//   std::vector<QualityEvidence> evidence = merger.apply(delta);   // input of RolloutGuard
//   std::shared_ptr<const QualityView> view = merger.view(...);    // input of version choice
//
// A row of a delta contains the total since the origin started. Repeated, reordered or lost deltas
// are therefore harmless: a later total contains the earlier one.

#ifndef FIREFLYROUTE_CORE_QUALITY_QUALITY_TABLE_H
#define FIREFLYROUTE_CORE_QUALITY_QUALITY_TABLE_H

#include "core/quality/quality_estimate.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace fireflyroute::core {

// Total of one task and version at one origin.
struct QualityRow
{
    QualityKey key;
    std::uint64_t sequence = 0; // sequence number of the row's last change at its origin
    RatingCounts total;

    bool operator==(const QualityRow &) const = default;
};

// Rows of one origin that changed after the sequence number acknowledged by the receiver.
struct QualityDelta
{
    VmId origin;
    Incarnation incarnation{0};
    std::uint64_t sequence = 0; // to be acknowledged by the receiver
    std::vector<QualityRow> rows;

    bool operator==(const QualityDelta &) const = default;
};

// Ratings that a delta added to the stored total.
struct QualityEvidence
{
    QualityKey key;
    RatingCounts newRatings;
};

// Counts the ratings of one entry.
class QualityRecorder
{
public:
    QualityRecorder(VmId origin, Incarnation incarnation)
        : origin_(std::move(origin))
        , incarnation_(incarnation)
    {}

    // Counts a rating from 0 to 1. A failed or timed-out answer of a live endpoint counts as 0. A
    // failure caused by a crash of the endpoint is not counted, since it is no evidence about the
    // version.
    void record(const QualityKey &key, double rating);

    [[nodiscard]] QualityDelta deltaSince(std::uint64_t acknowledged) const;

private:
    VmId origin_;
    Incarnation incarnation_;
    std::uint64_t sequence_ = 0; // at least the sequence number of every row
    std::unordered_map<QualityKey, QualityRow> rows_;
};

// Input of version choice. Immutable once published.
struct QualityView
{
    EstimatePolicy policy;
    std::unordered_map<QualityKey, QualityEstimate> estimates;
    std::unordered_set<ModelVersion> validated; // passed their roll-out test
    std::unordered_set<ModelVersion> suspects; // every answer of these versions is rated

    [[nodiscard]] QualityBounds bounds(const QualityKey &key, double expectedQuality) const;
    [[nodiscard]] bool isValidated(const ModelVersion &version) const;
    [[nodiscard]] bool isSuspect(const ModelVersion &version) const;
};

// Merges the deltas of all entries.
class QualityMerger
{
public:
    explicit QualityMerger(const EstimatePolicy &policy)
        : policy_(policy)
    {}

    // Applies a delta and returns the ratings that it added. Deltas of an earlier incarnation and
    // rows that contradict an earlier total are ignored.
    std::vector<QualityEvidence> apply(const QualityDelta &delta);

    // Removes the state of an entry that has left the fleet. Its ratings remain in the estimates.
    void removeOrigin(const VmId &origin);

    [[nodiscard]] QualityBounds bounds(const QualityKey &key, double expectedQuality) const;

    [[nodiscard]] std::shared_ptr<const QualityView>
    view(std::unordered_set<ModelVersion> validated,
         std::unordered_set<ModelVersion> suspects) const;

private:
    struct Origin
    {
        Incarnation incarnation{0}; // highest one received
        std::unordered_map<QualityKey, QualityRow> rows; // newest row of each key
    };

    EstimatePolicy policy_;
    std::unordered_map<VmId, Origin> origins_;
    std::unordered_map<QualityKey, QualityEstimate> estimates_;
};

} // namespace fireflyroute::core

#endif
