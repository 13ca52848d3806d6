// Records, exchanges and merges ratings.

#include "core/quality/quality_table.h"

#include <utility>

namespace fireflyroute::core {

namespace {

QualityBounds boundsFrom(const std::unordered_map<QualityKey, QualityEstimate> &estimates,
                         const EstimatePolicy &policy, const QualityKey &key,
                         double expectedQuality)
{
    const auto found = estimates.find(key);
    if (found == estimates.end())
        return QualityEstimate(policy).bounds(expectedQuality);
    return found->second.bounds(expectedQuality);
}

} // namespace

void QualityRecorder::record(const QualityKey &key, double rating)
{
    QualityRow &row = rows_.try_emplace(key, QualityRow{.key = key}).first->second;
    row.total.add(rating);
    row.sequence = ++sequence_;
}

QualityDelta QualityRecorder::deltaSince(std::uint64_t acknowledged) const
{
    QualityDelta delta{.origin = origin_, .incarnation = incarnation_, .sequence = sequence_};
    for (const auto &[key, row] : rows_) {
        if (row.sequence > acknowledged)
            delta.rows.push_back(row);
    }
    return delta;
}

QualityBounds QualityView::bounds(const QualityKey &key, double expectedQuality) const
{
    return boundsFrom(estimates, policy, key, expectedQuality);
}

bool QualityView::isValidated(const ModelVersion &version) const
{
    return validated.count(version) > 0;
}

bool QualityView::isSuspect(const ModelVersion &version) const
{
    return suspects.count(version) > 0;
}

std::vector<QualityEvidence> QualityMerger::apply(const QualityDelta &delta)
{
    Origin &origin = origins_[delta.origin];
    if (delta.incarnation < origin.incarnation)
        return {};
    if (delta.incarnation > origin.incarnation)
        origin = Origin{.incarnation = delta.incarnation};
    std::vector<QualityEvidence> evidence;
    for (const QualityRow &row : delta.rows) {
        QualityRow &stored = origin.rows[row.key];
        if (row.sequence <= stored.sequence || !row.total.contains(stored.total))
            continue;
        evidence.push_back(QualityEvidence{row.key, row.total.since(stored.total)});
        estimates_.try_emplace(row.key, policy_).first->second.add(evidence.back().newRatings);
        stored = row;
    }
    return evidence;
}

void QualityMerger::removeOrigin(const VmId &origin)
{
    origins_.erase(origin);
}

QualityBounds QualityMerger::bounds(const QualityKey &key, double expectedQuality) const
{
    return boundsFrom(estimates_, policy_, key, expectedQuality);
}

std::shared_ptr<const QualityView>
QualityMerger::view(std::unordered_set<ModelVersion> validated,
                    std::unordered_set<ModelVersion> suspects) const
{
    QualityView view{.policy = policy_, .estimates = estimates_};
    view.validated = std::move(validated);
    view.suspects = std::move(suspects);
    return std::make_shared<const QualityView>(std::move(view));
}

} // namespace fireflyroute::core
