// Canary sampling and version admission.

#include "core/versions/version_gate.h"

#include <algorithm>

namespace fireflyroute::core {

namespace {

// FNV-1a with a final mix; equal in all processes.
std::uint64_t hashOf(std::string_view text)
{
    constexpr std::uint64_t kOffset = 14695981039346656037ULL;
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    std::uint64_t hash = kOffset;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    hash ^= hash >> 29U;
    hash *= kPrime;
    return hash ^ (hash >> 32U);
}

} // namespace

VersionGate::VersionGate(const SiteRollout *rollout, const std::vector<EndpointRecord> &endpoints)
    : rollout_(rollout)
{
    if (rollout_)
        return;
    std::map<VersionName, std::size_t> counts;
    std::size_t highestCount = 0;
    for (const EndpointRecord &endpoint : endpoints) {
        const std::size_t count = ++counts[endpoint.version];
        if (count > highestCount) {
            highestCount = count;
            majorityVersion_ = endpoint.version;
        }
    }
}

bool VersionGate::isInShare(std::string_view identity, double share)
{
    constexpr std::uint64_t kHashBuckets = 10'000;
    return static_cast<double>(hashOf(identity) % kHashBuckets) < share * kHashBuckets;
}

void VersionGate::sampleCanary(std::string_view identity, double canaryShare,
                               const std::optional<VersionName> &pinned)
{
    if (!rollout_ || rollout_->stage != RolloutStage::Canary)
        return;
    if (pinned) {
        canary_ = *pinned == rollout_->target;
        return;
    }
    canary_ = isInShare(identity, canaryShare);
}

bool VersionGate::admits(const VersionName &version) const
{
    if (!rollout_)
        return version == majorityVersion_;
    const bool isTarget = version == rollout_->target;
    switch (rollout_->stage) {
    case RolloutStage::Canary:
        return isTarget == canary_;
    case RolloutStage::Expanding:
    case RolloutStage::Completed:
        return isTarget;
    case RolloutStage::RolledBack:
        return !isTarget;
    }
    return false;
}

} // namespace fireflyroute::core
