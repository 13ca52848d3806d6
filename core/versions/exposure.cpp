// Counts assignments against the exposure limit.

#include "core/versions/exposure.h"

namespace fireflyroute::core {

namespace {

constexpr std::uint64_t kPermille = 1000;

} // namespace

bool ExposureGate::admits(const ModelVersion &version, std::uint32_t limitPermille) const
{
    if (limitPermille >= kPermille)
        return true;
    const ExposureCounts current = counts(version);
    return (current.exposed + 1) * kPermille <= (current.total + 1) * limitPermille;
}

void ExposureGate::watch(const ModelVersion &version)
{
    watched_.try_emplace(version);
}

void ExposureGate::unwatch(const ModelVersion &version)
{
    watched_.erase(version);
}

void ExposureGate::record(const ModelVersion &assigned)
{
    for (auto &[version, counts] : watched_) {
        if (version.model != assigned.model)
            continue;
        ++counts.total;
        counts.exposed += version == assigned ? 1U : 0U;
    }
}

ExposureCounts ExposureGate::counts(const ModelVersion &version) const
{
    const auto found = watched_.find(version);
    return found == watched_.end() ? ExposureCounts{} : found->second;
}

} // namespace fireflyroute::core
