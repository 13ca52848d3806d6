// Detection of a lost path to the endpoints.

#include "core/paths/path_monitor.h"

#include <algorithm>
#include <set>

namespace fireflyroute::core {

namespace {

// Interval of two checks beyond which the process was stopped between them.
constexpr Duration kMaxCheckInterval = 5 * PathMonitor::kCheckInterval;

// One endpoint that fails is no evidence of a lost path.
constexpr std::size_t kMinEndpoints = 2;

} // namespace

void PathMonitor::recordConnectFailure(const EndpointId &endpoint, Instant now)
{
    failedAt_[endpoint] = now;
    failedLastAt_ = now;
    std::erase_if(failedAt_, [&](const auto &failure) {
        return now - failure.second > policy_.failureWindow;
    });
    if (state_ == PathState::Sound && isEnough(failedAt_.size(), policy_.minEndpoints))
        isolate(PathState::Refusing, now);
}

void PathMonitor::recordBytes(std::optional<Instant> openedAt, Instant now)
{
    silentSince_ = now;
    if (!openedAt)
        return;
    std::erase_if(failedAt_, [&](const auto &failure) { return failure.second <= *openedAt; });
    if (isIsolated() && *openedAt >= isolatedAt_) {
        state_ = PathState::Sound;
        failedAt_.clear();
    }
}

PathMonitor::WaitToken PathMonitor::startWaiting(const EndpointId &endpoint, Instant now)
{
    waiting_.emplace(++lastToken_, Waiting{endpoint, now});
    return lastToken_;
}

void PathMonitor::check(Instant now)
{
    const bool wasStopped = !checkedAt_ || now - *checkedAt_ > kMaxCheckInterval;
    checkedAt_ = now;
    if (wasStopped)
        silentSince_ = now;
    if (state_ == PathState::Silent || now - silentSince_ < policy_.silence)
        return;
    const std::size_t required =
            state_ == PathState::Refusing ? policy_.minSilentWhenRefusing : policy_.minEndpoints;
    if (isEnough(countWaiting(now), required))
        isolate(PathState::Silent, now);
}

PathEvidence PathMonitor::evidence(Instant now) const
{
    return {countFailed(now), countWaiting(now), now - silentSince_};
}

bool PathMonitor::tryProbe(Instant now)
{
    if (!isIsolated() || now - probedAt_ < policy_.probeInterval)
        return false;
    probedAt_ = now;
    return true;
}

bool PathMonitor::isEnough(std::size_t endpoints, std::size_t required) const
{
    return endpoints >= std::max(kMinEndpoints, std::min(required, endpointCount_));
}

std::size_t PathMonitor::countFailed(Instant now) const
{
    return static_cast<std::size_t>(
            std::count_if(failedAt_.begin(), failedAt_.end(), [&](const auto &failure) {
                return now - failure.second <= policy_.failureWindow;
            }));
}

std::size_t PathMonitor::countWaiting(Instant now) const
{
    std::set<EndpointId> endpoints;
    for (const auto &[token, waiting] : waiting_) {
        if (now - waiting.since >= policy_.silence)
            endpoints.insert(waiting.endpoint);
    }
    return endpoints.size();
}

void PathMonitor::isolate(PathState state, Instant now)
{
    if (!isIsolated()) {
        isolatedAt_ = now;
        probedAt_ = now - policy_.probeInterval + policy_.firstProbeDelay;
    }
    state_ = state;
    failedLastAt_ = now;
}

} // namespace fireflyroute::core
