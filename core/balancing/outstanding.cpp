// Load estimation from reports and local events.

#include "core/balancing/outstanding.h"

#include <algorithm>

namespace fireflyroute::core {

namespace {

// Retention of events. Older events are included in every report that is still used.
constexpr Duration kEventRetention = std::chrono::seconds(10);

std::int64_t countAfter(const std::deque<Instant> &history, Instant instant)
{
    return history.end() - std::upper_bound(history.begin(), history.end(), instant);
}

} // namespace

void LoadEstimator::recordStart(const EndpointId &endpoint, Instant now)
{
    removeIdle(now);
    Counts &counts = counts_[endpoint];
    ++counts.inFlight;
    record(counts.startTimes, now);
}

void LoadEstimator::recordFinish(const EndpointId &endpoint, Instant now)
{
    const auto found = counts_.find(endpoint);
    if (found == counts_.end() || found->second.inFlight == 0)
        return;
    --found->second.inFlight;
    record(found->second.finishTimes, now);
}

std::uint32_t LoadEstimator::load(const EndpointState &state) const
{
    const std::int64_t reported =
            std::int64_t{state.lastAnnouncement.load.running} + state.lastAnnouncement.load.queued;
    const auto found = counts_.find(state.lastAnnouncement.id);
    if (found == counts_.end())
        return static_cast<std::uint32_t>(reported);
    const Counts &counts = found->second;
    const Instant measuredAt = state.announcedAt - reportLag_;
    const std::int64_t netStarted =
            countAfter(counts.startTimes, measuredAt) - countAfter(counts.finishTimes, measuredAt);
    return static_cast<std::uint32_t>(
            std::max(reported + netStarted, std::int64_t{counts.inFlight}));
}

std::uint32_t LoadEstimator::inFlight(const EndpointId &endpoint) const
{
    const auto found = counts_.find(endpoint);
    return found == counts_.end() ? 0 : found->second.inFlight;
}

void LoadEstimator::record(std::deque<Instant> &history, Instant now)
{
    while (!history.empty() && history.front() < now - kEventRetention)
        history.pop_front();
    history.push_back(now);
}

// Runs at most once per kEventRetention, so that its cost per request does not grow with the fleet.
void LoadEstimator::removeIdle(Instant now)
{
    if (now - idleRemovedAt_ < kEventRetention)
        return;
    idleRemovedAt_ = now;
    std::erase_if(counts_, [&](const auto &item) {
        const Counts &counts = item.second;
        const bool isIdle =
                counts.finishTimes.empty() || counts.finishTimes.back() < now - kEventRetention;
        return counts.inFlight == 0 && isIdle;
    });
}

} // namespace fireflyroute::core
