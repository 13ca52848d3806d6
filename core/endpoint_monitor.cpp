// Averages and rests.

#include "core/endpoint_monitor.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::core {

namespace {

// An endpoint that refused for want of room is left alone for so long.
constexpr std::chrono::milliseconds kFullPause{100};

// Above this many failures in a row the rest is as long as it gets.
constexpr unsigned kMaxDoublings = 6;

// One answer far off the others must not make an endpoint look slow for long.
constexpr double kMaxSample = 8;

} // namespace

void EndpointMonitor::sent(const EndpointId &id, std::uint32_t unreadTokens)
{
    Seen &seen = seen_[id];
    ++seen.outstanding;
    seen.unreadTokens += unreadTokens;
}

void EndpointMonitor::began(const EndpointId &id, std::uint32_t unreadTokens)
{
    const auto found = seen_.find(id);
    if (found != seen_.end())
        found->second.unreadTokens -=
                std::min<std::uint64_t>(found->second.unreadTokens, unreadTokens);
}

void EndpointMonitor::ended(const EndpointId &id)
{
    const auto found = seen_.find(id);
    if (found != seen_.end())
        found->second.outstanding -= std::min(found->second.outstanding, 1U);
}

WorkReport EndpointMonitor::ownWork() const
{
    WorkReport report;
    for (const auto &[id, seen] : seen_) {
        if (seen.outstanding > 0)
            report.work.push_back(
                    {id, seen.outstanding, static_cast<std::uint32_t>(seen.unreadTokens)});
    }
    return report;
}

void EndpointMonitor::heardOthers(const WorkReport &report, Instant now)
{
    others_.clear();
    for (const EndpointWork &work : report.work)
        others_.emplace(work.id, work);
    othersAt_ = now;
}

// What others have sent there; null if they have sent nothing, or that is not known.
const EndpointWork *EndpointMonitor::othersAt(const EndpointId &id, Instant now) const
{
    const bool isFresh = othersAt_ && now - *othersAt_ < policy_.othersLifetime;
    const auto found = others_.find(id);
    return isFresh && found != others_.end() ? &found->second : nullptr;
}

double EndpointMonitor::unreadTokens(const EndpointId &id, Instant now) const
{
    const auto found = seen_.find(id);
    const double own = found == seen_.end() ? 0 : static_cast<double>(found->second.unreadTokens);
    const EndpointWork *others = othersAt(id, now);
    return own + (others ? others->unreadTokens : 0);
}

void EndpointMonitor::answered(const EndpointId &id, Instant now)
{
    Seen &seen = seen_[id];
    seen.failedInRow = 0;
    seen.restsUntil.reset();
    seen.lastGood = now;
    seen.failures *= 1 - policy_.memory;
}

void EndpointMonitor::paced(const EndpointId &id, double ratio)
{
    Seen &seen = seen_[id];
    seen.slowness += policy_.memory * (std::min(ratio, kMaxSample) - seen.slowness);
}

void EndpointMonitor::reported(const EndpointId &id, const EndpointLoad &load, Instant now)
{
    Seen &seen = seen_[id];
    seen.load = load;
    seen.loadAt = now;
    seen.outstandingThen = seen.outstanding;
}

void EndpointMonitor::failed(const EndpointId &id, bool severe, Instant now)
{
    Seen &seen = seen_[id];
    ++seen.failedInRow;
    seen.failures += policy_.memory * (1 - seen.failures);
    if (severe || seen.failedInRow > 1 || seen.failures > policy_.failureLimit)
        rest(seen, now);
}

void EndpointMonitor::rest(Seen &seen, Instant now) const
{
    const unsigned doublings = std::min(seen.failedInRow - 1, kMaxDoublings);
    seen.restsUntil = now + std::min(policy_.firstRest * (1U << doublings), policy_.longestRest);
}

std::vector<EndpointId> EndpointMonitor::takeRefusals()
{
    return std::exchange(refusals_, {});
}

// Many entries may tell of one crash, so the rest does not grow with each.
void EndpointMonitor::heardRefusals(const std::vector<EndpointId> &endpoints, Instant now)
{
    for (const EndpointId &id : endpoints) {
        Seen &seen = seen_[id];
        const Instant until = now + policy_.firstRest;
        if (!seen.restsUntil || *seen.restsUntil < until)
            seen.restsUntil = until;
    }
}

void EndpointMonitor::wasReplaced(const EndpointId &id, Instant now)
{
    Seen &seen = seen_[id];
    ++seen.failedInRow;
    seen.restsUntil = now + policy_.longestRest;
}

void EndpointMonitor::wasFull(const EndpointId &id, Instant now)
{
    seen_[id].fullUntil = now + kFullPause;
}

bool EndpointMonitor::isUsable(const EndpointId &id, Instant now) const
{
    const auto found = seen_.find(id);
    if (found == seen_.end())
        return true;
    const Seen &seen = found->second;
    if (seen.fullUntil && now < *seen.fullUntil)
        return false;
    if (!seen.restsUntil)
        return true;
    // On trial after its rest: one request at a time until one is answered.
    return now >= *seen.restsUntil && seen.outstanding == 0;
}

double EndpointMonitor::busy(const EndpointId &id, Instant now) const
{
    const auto found = seen_.find(id);
    const double own = found == seen_.end() ? 0 : found->second.outstanding;
    if (othersAt_ && now - *othersAt_ < policy_.othersLifetime) {
        const EndpointWork *others = othersAt(id, now);
        return own + (others ? others->running : 0);
    }
    if (found == seen_.end())
        return 0;
    const Seen &seen = found->second;
    if (!seen.loadAt || now - *seen.loadAt > policy_.loadLifetime)
        return own;
    const double then = seen.outstandingThen;
    return std::max(own, seen.load.running + seen.load.waiting + own - then);
}

double EndpointMonitor::slowness(const EndpointId &id) const
{
    const auto found = seen_.find(id);
    return found == seen_.end() ? 1 : found->second.slowness;
}

std::optional<Instant> EndpointMonitor::lastGood(const EndpointId &id) const
{
    const auto found = seen_.find(id);
    return found == seen_.end() ? std::nullopt : found->second.lastGood;
}

} // namespace fireflyroute::core
