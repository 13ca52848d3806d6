// Cold periods of endpoints by their start and by their reports.

#include "core/cold/cold_endpoints.h"

namespace fireflyroute::core {

namespace {

// Largest assumed difference between the wall clocks of two VMs. An endpoint whose reported start
// is not older than its cold period plus this counts as started when it was first seen.
constexpr std::chrono::seconds kClockTolerance{10};

} // namespace

void ColdEndpoints::observe(const EndpointRecord &record, Instant now, WallTime wallNow)
{
    const auto [found, isNew] = observed_.try_emplace(record.id);
    Observed &observed = found->second;
    const bool isNewIncarnation = isNew || observed.startedAtMs != record.startedAtMs;
    if (isNewIncarnation) {
        observed =
                Observed{record.startedAtMs, record.sequence, now, std::nullopt, std::nullopt, now};
        const WallTime startedAt{std::chrono::milliseconds(record.startedAtMs)};
        if (record.startedAtMs != 0 && startedAt <= wallNow)
            observed.ageWhenSeen = wallNow - startedAt;
    } else if (record.sequence <= observed.sequence) {
        return;
    }
    observed.sequence = record.sequence;
    observed.reportedUntil = now + std::chrono::milliseconds(record.warmupMs);
}

void ColdEndpoints::recordConnectionRefusal(const EndpointId &id, Instant now)
{
    const auto found = observed_.find(id);
    if (found != observed_.end())
        found->second.refusedAt = now;
}

void ColdEndpoints::retain(const std::set<EndpointId> &ids)
{
    std::erase_if(observed_, [&](const auto &item) { return !ids.contains(item.first); });
}

bool ColdEndpoints::isCold(const EndpointId &id, Duration coldStart, Instant now) const
{
    const auto found = observed_.find(id);
    if (found == observed_.end())
        return true;
    const Observed &observed = found->second;
    const bool isWarmByAge =
            observed.ageWhenSeen && *observed.ageWhenSeen >= coldStart + kClockTolerance;
    const bool hasJustStarted = !isWarmByAge && now < observed.firstSeenAt + coldStart;
    const bool mayRestart = observed.refusedAt && now < *observed.refusedAt + coldStart;
    return hasJustStarted || mayRestart || now < observed.reportedUntil;
}

} // namespace fireflyroute::core
