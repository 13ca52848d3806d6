// Moving averages and cooldowns of endpoints.

#include "core/balancing/endpoint_monitor.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::core {

namespace {

// Time for which an endpoint receives no requests after it rejected one because it was full.
constexpr std::chrono::milliseconds kSaturationBackoff{100};

// Upper limit for the number of doublings of the cooldown after consecutive failures.
constexpr unsigned kMaxCooldownDoublings = 6;

// Caps a single latency sample, so that one outlier does not raise the average for long.
constexpr double kMaxLatencyRatioSample = 8;

} // namespace

void EndpointMonitor::recordDispatch(const EndpointId &id, std::uint32_t pendingPrefillTokens)
{
    EndpointStats &stats = endpoints_[id];
    ++stats.outstanding;
    stats.pendingPrefillTokens += pendingPrefillTokens;
}

void EndpointMonitor::recordPrefillDone(const EndpointId &id, std::uint32_t pendingPrefillTokens)
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end())
        found->second.pendingPrefillTokens -=
                std::min<std::uint64_t>(found->second.pendingPrefillTokens, pendingPrefillTokens);
}

void EndpointMonitor::recordEnd(const EndpointId &id)
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end())
        found->second.outstanding -= std::min(found->second.outstanding, 1U);
}

WorkReport EndpointMonitor::localWork() const
{
    WorkReport report;
    for (const auto &[id, stats] : endpoints_) {
        if (stats.outstanding > 0)
            report.work.push_back({id, stats.outstanding,
                                   static_cast<std::uint32_t>(stats.pendingPrefillTokens)});
    }
    return report;
}

void EndpointMonitor::applyRemoteWork(const WorkReport &report, Instant now)
{
    remoteWork_.clear();
    for (const EndpointWork &work : report.work)
        remoteWork_.emplace(work.id, work);
    remoteWorkReceivedAt_ = now;
}

// Requests that other entries have outstanding at an endpoint; null if there are none or if the
// last report is outdated.
const EndpointWork *EndpointMonitor::findRemoteWork(const EndpointId &id, Instant now) const
{
    const bool isFresh =
            remoteWorkReceivedAt_ && now - *remoteWorkReceivedAt_ < policy_.remoteWorkLifetime;
    const auto found = remoteWork_.find(id);
    return isFresh && found != remoteWork_.end() ? &found->second : nullptr;
}

double EndpointMonitor::pendingPrefillTokens(const EndpointId &id, Instant now) const
{
    const auto found = endpoints_.find(id);
    const double local =
            found == endpoints_.end() ? 0 : static_cast<double>(found->second.pendingPrefillTokens);
    const EndpointWork *remote = findRemoteWork(id, now);
    return local + (remote ? remote->pendingPrefillTokens : 0);
}

void EndpointMonitor::recordSuccess(const EndpointId &id, Instant now)
{
    EndpointStats &stats = endpoints_[id];
    stats.consecutiveFailures = 0;
    stats.cooldownUntil.reset();
    stats.lastSuccessAt = now;
    stats.failureRatio *= 1 - policy_.smoothingFactor;
}

void EndpointMonitor::recordRelativeLatency(const EndpointId &id, double sample)
{
    EndpointStats &stats = endpoints_[id];
    stats.latencyRatio += policy_.smoothingFactor
                          * (std::min(sample, kMaxLatencyRatioSample) - stats.latencyRatio);
}

void EndpointMonitor::recordLoad(const EndpointId &id, const EndpointLoadReport &load, Instant now)
{
    EndpointStats &stats = endpoints_[id];
    stats.load = load;
    stats.loadReportedAt = now;
    stats.outstandingAtLoadReport = stats.outstanding;
}

void EndpointMonitor::recordFailure(const EndpointId &id, bool severe, Instant now)
{
    EndpointStats &stats = endpoints_[id];
    ++stats.consecutiveFailures;
    stats.failureRatio += policy_.smoothingFactor * (1 - stats.failureRatio);
    if (severe || stats.consecutiveFailures > 1 || stats.failureRatio > policy_.maxFailureRatio)
        startCooldown(stats, now);
}

void EndpointMonitor::startCooldown(EndpointStats &stats, Instant now) const
{
    const unsigned doublings = std::min(stats.consecutiveFailures - 1, kMaxCooldownDoublings);
    stats.cooldownUntil =
            now + std::min(policy_.initialCooldown * (1U << doublings), policy_.maxCooldown);
}

std::vector<EndpointId> EndpointMonitor::takeConnectionRefusals()
{
    return std::exchange(connectionRefusals_, {});
}

// Several entries may report the same crash, so a report does not count as a failure and does not
// double the cooldown: it only ensures that the initial cooldown starts.
void EndpointMonitor::applyConnectionRefusals(const std::vector<EndpointId> &endpoints, Instant now)
{
    for (const EndpointId &id : endpoints) {
        EndpointStats &stats = endpoints_[id];
        const Instant until = now + policy_.initialCooldown;
        if (!stats.cooldownUntil || *stats.cooldownUntil < until)
            stats.cooldownUntil = until;
    }
}

void EndpointMonitor::recordReplacement(const EndpointId &id, Instant now)
{
    EndpointStats &stats = endpoints_[id];
    ++stats.consecutiveFailures;
    stats.cooldownUntil = now + policy_.maxCooldown;
}

void EndpointMonitor::recordSaturation(const EndpointId &id, Instant now)
{
    endpoints_[id].saturatedUntil = now + kSaturationBackoff;
}

bool EndpointMonitor::isUsable(const EndpointId &id, Instant now) const
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return true;
    const EndpointStats &stats = found->second;
    if (stats.saturatedUntil && now < *stats.saturatedUntil)
        return false;
    if (!stats.cooldownUntil)
        return true;
    // After the cooldown the endpoint is probed: one request at a time until one succeeds.
    return now >= *stats.cooldownUntil && stats.outstanding == 0;
}

double EndpointMonitor::estimatedLoad(const EndpointId &id, Instant now) const
{
    const auto found = endpoints_.find(id);
    const double local = found == endpoints_.end() ? 0 : found->second.outstanding;
    if (remoteWorkReceivedAt_ && now - *remoteWorkReceivedAt_ < policy_.remoteWorkLifetime) {
        const EndpointWork *remote = findRemoteWork(id, now);
        return local + (remote ? remote->running : 0);
    }
    if (found == endpoints_.end())
        return 0;
    const EndpointStats &stats = found->second;
    if (!stats.loadReportedAt || now - *stats.loadReportedAt > policy_.loadReportLifetime)
        return local;
    const double outstandingAtReport = stats.outstandingAtLoadReport;
    return std::max(local, stats.load.running + stats.load.waiting + local - outstandingAtReport);
}

double EndpointMonitor::latencyRatio(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? 1 : found->second.latencyRatio;
}

std::optional<Instant> EndpointMonitor::lastSuccessAt(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? std::nullopt : found->second.lastSuccessAt;
}

} // namespace fireflyroute::core
